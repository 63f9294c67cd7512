"""The protocol's spellings, and nothing else.

This is the only slice that knows how the platform names things (`helm`,
`frond`, `holdfast`...).  It owns no state: it turns messages into the values
of `kelpjunction.wire.messages` and back.
"""
