"""Client accounts of a run: their keys, limits and the settings of the gateways."""

import random as randoms

# Seeds from this one on play with accounts.
FIRST_SEED = 1_000_000
REVOKE_S = 3.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
SETTINGS = f"""
[accounts]
revocation_ms = {int(REVOKE_S * 1000)}
quota_window_s = {QUOTA_WINDOW_S}
quota_overshoot = {QUOTA_OVERSHOOT}
quota_slack = {QUOTA_SLACK}
"""
# Name, priority, rate per second and burst; 0 for no limit. The callers of a run need less than the limits of theirs.
ACCOUNTS = (("north", 0, 0, 0), ("south", 1, 150, 150), ("west", 2, 150, 150), ("crowd", 2, 8, 8))
CROWD = "crowd"
# The accounts' second keys are revoked: one in the phase of revocation, one among the other faults.
REVOKED_IN_PHASE, REVOKED_IN_TROUBLE = 0, 1


class Accounts:
    """Accounts and keys of one run. A key that was revoked stays known, so that the rules can tell whose it was."""

    def __init__(self, seed):
        random = randoms.Random(seed + 2)
        names = [name for name, *_ in ACCOUNTS]
        self.keys = {name: f"key-{name}-{random.randbytes(12).hex()}" for name in names}
        self.temporary_keys = [f"key-{name}-{random.randbytes(12).hex()}" for name in names[:2]]
        self.unknown_keys = [f"key-unknown-{random.randbytes(12).hex()}", self.keys["north"][:-1]]
        self.account_by_key = {key: name for name, key in self.keys.items()}
        self.account_by_key |= dict(zip(self.temporary_keys, names))
        self.revoked = set()

    def tenants(self):
        """The accounts in the form of the operator's configuration."""
        result = []
        for name, priority, rate, burst in ACCOUNTS:
            keys = [key for key, owner in self.account_by_key.items() if owner == name and key not in self.revoked]
            result.append({"name": name, "apiKeys": keys, "priority": priority, "ratePerS": rate, "burst": burst})
        return result

    def all_keys(self):
        return [*self.account_by_key, *self.unknown_keys]

    @staticmethod
    def quota_per_window():
        """The largest number of calls of the crowd that may run in a window."""
        rate, burst = next((rate, burst) for name, _, rate, burst in ACCOUNTS if name == CROWD)
        return (rate * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
