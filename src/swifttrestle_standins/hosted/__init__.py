"""Stand-ins of the platform that hosts gateways: its store, model engines, plain services.

They run in the event loop of a test or of the demo, fail as they are told to, and record
what reached them.
"""
