"""What gateways cost their hosts, and how evenly they load them: decisions on a clock of their own."""
