"""Host lists in memory: files that leave nothing behind, whatever ends the process."""

import os

ZONES = 13


class MemoryFile:
    """A file without a name on any disk, read by others of this process under `path`."""

    def __init__(self, text=""):
        self.descriptor = os.memfd_create("hosts")
        self.path = f"/proc/self/fd/{self.descriptor}"
        self.writes = 0
        self.write(text)

    def write(self, text):
        """The whole text at once: nobody reads in between, as one thread does all."""
        data = text.encode()
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, data, 0)
        self.writes += 1
        os.utime(self.descriptor, ns=(self.writes, self.writes))  # the kernel's own stamps are 4 ms apart

    def close(self):
        """Frees the memory."""
        os.close(self.descriptor)


class HostLists:
    """The truth of which hosts there are, told to gateways by one or more files."""

    def __init__(self, hosts, files):
        self.states = {f"host-{number:05}": "active" for number in range(hosts)}
        self.starts = dict.fromkeys(self.states, 1)
        self.files = files
        self.publish()

    def text(self):
        """The lines of all hosts that are there."""
        return "".join(
            f"host {name} 127.9.{place >> 8}.{place & 255}:9001 zone z{place % ZONES} rack r{place % 97} "
            f"capacity 4 state {state} started {self.starts[name]}\n"
            for place, (name, state) in enumerate(self.states.items())
            if state != "gone"
        )

    def publish(self, files=None):
        """Writes the list to these files (numbers), or to all."""
        text = self.text()
        for number in range(len(self.files)) if files is None else files:
            self.files[number].write(text)

    def close(self):
        """Frees the memory."""
        for file in self.files:
            file.close()
