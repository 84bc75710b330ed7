/** Members of a group that make a quorum: a majority. */
export function quorumSize (groupSize: number): number {
  return Math.floor(groupSize / 2) + 1
}
