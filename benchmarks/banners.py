"""The first line of output of a process of stand-ins."""

import msgspec

from corianderrill import hostlist, names


class Banner(msgspec.Struct, omit_defaults=True):
    """Where the stand-ins of a process are."""

    control: names.Address
    key_value: names.Address | None = None
    host_list: names.Address | None = None
    servers: tuple[hostlist.BackendServer, ...] = ()
