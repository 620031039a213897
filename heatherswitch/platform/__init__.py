"""Names, formats and calls of the users' platform.

The package decodes what the platform says into the types of the product and encodes
what the product says. It decides nothing.
"""
