"""What one entry host knows of the platform: hosts, catalogs and configuration."""

from corianderrill import catalog, configuration, directory, hostlist, names


class Knowledge:
    """The newest of each; queries read it, followers and peers write it."""

    def __init__(self) -> None:
        self.directory = directory.Directory()
        self.catalogs: dict[names.FleetName, catalog.Catalog] = {}
        self.configuration = configuration.Configuration()
        self.hosts = hostlist.HostList()

    @property
    def lacks_platform(self) -> bool:
        """Whether the host list or every catalog is missing."""
        return not self.catalogs or not self.directory.list_servers()
