"""An independent review: cases that show broken rules."""
