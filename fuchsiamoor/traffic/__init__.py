"""Request routing by route: catalog, choice of an instance, and admission control."""
