"""The gateway: forwards the requests of all routes directly to backend servers.

`process` wires the modules together. A request passes through `wsgi_app`, `routes`,
`coordinator`, `replica_selection` and `connections`. `replies` classifies the replies
and `top_records` merges them. `store_watcher` keeps `view` up to date with the
platform's store.
"""
