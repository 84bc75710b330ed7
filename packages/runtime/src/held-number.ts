/** Numbers of configurations and documents, of which a process may hold none. */

/** Number of what is held; undefined for nothing, which is older than any number. Numbers begin at 0. */
export type HeldNumber = number | undefined

/** Whether `left` is older than `right`. */
export function isOlder (left: HeldNumber, right: HeldNumber): boolean {
  if (right === undefined) return false
  return left === undefined || left < right
}

/** The newer of two numbers. */
export function newerOf (left: HeldNumber, right: HeldNumber): HeldNumber {
  return isOlder(left, right) ? right : left
}
