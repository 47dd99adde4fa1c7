"""violetsaddle: the decisions of a scheduler that pushes jobs to workers."""

from violetsaddle.interface import Actions, Entry, RequestClass, Settings, Tenant
from violetsaddle.policy import Balancer

__all__ = ["Actions", "Balancer", "Entry", "RequestClass", "Settings", "Tenant"]
