"""Programs of the product with one safety mechanism patched away.

They show that the proofs fail without the mechanism; nothing else may use them.
"""
