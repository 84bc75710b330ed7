/** How announcements of one upstream are compared. */
import { createHash } from 'node:crypto'
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'

/** Whether it said that it leaves, or has left. */
export function isLeaving ({ draining, gone }: AnnouncedUpstream): boolean {
  return draining || gone
}

/** Digest of what matters to requests in announcements; empty when there are none. */
export function digestOf (announced: readonly AnnouncedUpstream[]): string {
  if (announced.length === 0) return ''
  const lines = announced.map(({ instance, pool, address, slots, draining, born }) => [instance, pool, address, slots, draining, born].join(' '))
  return createHash('sha256').update(lines.sort().join('\n')).digest('base64')
}

/** Whether an announcement of an instance is newer than the one that is known. */
export function isNewer (candidate: AnnouncedUpstream, known: AnnouncedUpstream): boolean {
  if (candidate.born !== known.born) return candidate.born > known.born
  if (known.gone && !candidate.gone && candidate.draining) return false
  // A process that takes a silent upstream out has no announcement of its own for that.
  if (candidate.sequence === known.sequence) return candidate.gone && !known.gone
  return candidate.sequence > known.sequence
}

/** Whether two announcements of an instance differ in what matters to requests. */
export function differs (left: AnnouncedUpstream, right: AnnouncedUpstream): boolean {
  return left.born !== right.born || left.address !== right.address || left.draining !== right.draining || left.gone !== right.gone ||
    left.slots !== right.slots || left.pool !== right.pool
}
