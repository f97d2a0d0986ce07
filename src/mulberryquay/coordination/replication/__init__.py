"""A replicated log: records in one order, each synced by a majority.

After Ongaro and Ousterhout, "In search of an understandable consensus
algorithm", USENIX ATC 2014, with pre-votes and single-member changes as in
Ongaro's dissertation (Stanford, 2014, sections 4 and 9.6).
"""
