"""Stand-ins for the platform of hosted gateways: its store, model engines, plain services.

They run in the event loop of a test or of the demo, inject faults, and record the requests that
reach them.
"""
