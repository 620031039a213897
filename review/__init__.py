"""Independent review: cases that show broken rules, and the stand-ins they need."""
