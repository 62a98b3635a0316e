"""Hosts that follow the platform's store in virtual time, among faults.

The hosts run the code of the product. The store, the links and the processes are played
here, on a hub whose clock jumps from one timer to the next.
"""
