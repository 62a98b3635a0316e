"""The gateway: requests of any route, forwarded straight to backend servers.

`process` joins the parts. A request goes `front` -> `routes` -> `operation` ->
`choice` -> `connections`; `answers` checks what comes back and `parts` merges it.
`follower` keeps `view` current with the platform's store.
"""
