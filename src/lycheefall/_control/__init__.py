"""The pipeline of a control replica."""
