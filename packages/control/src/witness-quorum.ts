import type { EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import { quorumSize } from '@hickoryspoke/runtime/quorum'

/** Regions in which no quorum of the witnesses passes the test; empty when every region has such a quorum. */
export function regionsWithoutQuorum (entries: readonly EnrolledEntry[], passes: (name: string) => boolean): string[] {
  const regions = [...new Set(entries.map((entry) => entry.region))]
  return regions.filter((region) => {
    const witnesses = entries.filter((entry) => entry.region === region && entry.witness)
    return witnesses.filter((entry) => passes(entry.name)).length < quorumSize(witnesses.length)
  })
}
