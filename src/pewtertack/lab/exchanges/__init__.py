"""Generated HTTP exchanges through real nodes, checked byte for byte."""
