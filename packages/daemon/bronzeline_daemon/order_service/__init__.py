"""Carry plain services' calls, orders at most once."""

from bronzeline_daemon.order_service.service import OrderService, PlainCall
from bronzeline_kernel.orders import OrderResult, OrderStatus

__all__ = ["OrderResult", "OrderService", "OrderStatus", "PlainCall"]
