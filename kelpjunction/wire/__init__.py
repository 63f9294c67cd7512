"""Encodes and decodes the protocol's messages, and does nothing else.

This is the only package that knows the platform's names (`helm`, `frond`,
`holdfast`...).  It has no state: it turns messages into the values of
`kelpjunction.wire.messages` and back.
"""
