"""Select an upstream for a request.

In: what the entry knows of each upstream (its record, the attempts in flight here and at other
entries, its outcomes, notices and stated limits). Out: an upstream with room, or none.
"""
