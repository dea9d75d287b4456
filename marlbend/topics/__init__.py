"""Bring topics up to date: from the platform or from another instance.

A topic is a set of the platform's objects, such as the upstreams.  `knowledge`
defines the topics and how recent an instance's knowledge of each is, `contents`
how a topic is encoded and applied, and `changes` the same for what differs.
`reader` reads topics from the platform, `fetching` from another instance, and
`unlisted` what the platform's lists lack.
`history` keeps changes to pass them on, and `reader_clocks` converts times.

Heartbeats, which tell of later revisions, are sent by `marlbend.edge.peers`.
"""
