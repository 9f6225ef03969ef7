"""Configuration file and load scenario of the demo."""

CONFIGURATION = """
replaces = 0

[directory]
ttl_s = 2.0

[[priorities]]
name = "urgent"
target_s = 0.62
worth = 100.0
share_ratio = 0.2

[[priorities]]
name = "overnight"
target_s = 60.0
worth = 1.0
share_ratio = 0.05

[[teams]]
name = "lee-counters"

[[teams]]
name = "shannon-group"
weight = 2.0

[[pools]]
name = "assistant-pool"
kind = "engine"

[[pools]]
name = "counter-app"
kind = "service"

[[routes]]
name = "scent-match"
kind = "chat"
models = ["scent-match"]
pools = ["assistant-pool"]
priority = "urgent"
timeout_s = 20.0

[[routes]]
name = "loyalty-balance"
kind = "lookup"
service = "counter-app"
path = "balances"
pools = ["counter-app"]
priority = "urgent"
timeout_s = 5.0

[[routes]]
name = "stock-booking"
kind = "booking"
service = "counter-app"
path = "bookings"
idempotent = false
pools = ["counter-app"]
priority = "urgent"
timeout_s = 5.0
"""

SCENARIO = """
seed = 1
duration_s = 3.0

[[flows]]
route = "scent-match"
kind = "chat"
priority = "urgent"
teams = ["lee-counters", "shannon-group"]
rate = 10.0
target_s = 0.62
model = "scent-match"
max_tokens = 16

[[flows]]
route = "loyalty-balance"
kind = "lookup"
priority = "urgent"
teams = ["lee-counters", "shannon-group"]
rate = 10.0
target_s = 0.62
service = "counter-app"
path = "balances"

[[flows]]
route = "stock-booking"
kind = "booking"
priority = "urgent"
teams = ["lee-counters"]
rate = 5.0
target_s = 2.0
service = "counter-app"
path = "bookings"
"""
