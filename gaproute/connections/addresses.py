"""Counts the connections of each client address. Parked connections store the small id of their address."""

from array import array


class AddressCounts:
    """Counts connections by address; an address has an id while it has connections."""

    def __init__(self) -> None:
        self.ids: dict[str, int] = {}  # by address
        self._free_ids: list[int] = []
        self._counts = array("i")  # by id
        self._addresses: list[str | None] = []  # by id

    def count(self, address: str) -> int:
        """The number of connections of the address."""
        address_id = self.ids.get(address)
        return self._counts[address_id] if address_id is not None else 0

    def add(self, address: str) -> int:
        """Counts one more connection of the address; returns the id of the address."""
        address_id = self.ids.get(address)
        if address_id is None:
            address_id = self._new_id(address)
        self._counts[address_id] += 1
        return address_id

    def _new_id(self, address: str) -> int:
        if self._free_ids:
            address_id = self._free_ids.pop()
            self._addresses[address_id] = address
        else:
            address_id = len(self._addresses)
            self._addresses.append(address)
            self._counts.append(0)
        self.ids[address] = address_id
        return address_id

    def remove(self, address_id: int) -> None:
        """Counts one connection less; the id of an address without connections is reused."""
        self._counts[address_id] -= 1
        if self._counts[address_id]:
            return
        address = self._addresses[address_id]
        if address is not None:
            del self.ids[address]
        self._addresses[address_id] = None
        self._free_ids.append(address_id)
