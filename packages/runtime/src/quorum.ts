/** Smallest number of members that is a majority of a group. */
export function quorumSize (groupSize: number): number {
  return Math.floor(groupSize / 2) + 1
}
