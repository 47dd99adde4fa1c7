"""willowlb: the decisions of a scheduler that pushes jobs to workers."""

from willowlb.interface import Actions, Entry, RequestClass, Settings, Tenant
from willowlb.policy import Balancer

__all__ = ["Actions", "Balancer", "Entry", "RequestClass", "Settings", "Tenant"]
