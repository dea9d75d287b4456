"""Keep the flow table and choose the upstreams of flows."""

from marlbend.ownership.flows.choice import choose_default, choose_upstream
from marlbend.ownership.flows.table import FlowTable, Timeouts

__all__ = ('FlowTable', 'Timeouts', 'choose_default', 'choose_upstream')
