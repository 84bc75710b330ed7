/**
 * The document of number 0 as a departure. Commands and snapshots that begin with number 0 hold departures, so a document of that number
 * is written as one that concerns no upstream. Earlier versions, which run beside this one during an upgrade, keep it in their logs and
 * snapshots as they keep decisions on zones.
 */
import type { Departure } from '@hickoryspoke/protocol/generated/dispatch'
import type { PublishedDocument } from './published-document.ts'

/** The number whose document is written so. */
export const FIRST_NUMBER = 0

/** Names of upstreams do not begin with a slash. The content follows in base64. */
const RECORD_PREFIX = '/document/'
const CONTENT_ENCODING = 'base64'

/** Writes the document of number 0 as a departure. */
export function toFirstDocumentRecord (content: Buffer): Departure {
  return { instance: `${RECORD_PREFIX}${content.toString(CONTENT_ENCODING)}`, born: 0, sequence: 0, gone: false }
}

/** Reads the document that a departure stands for; undefined for any other departure. */
export function readFirstDocument ({ instance }: Departure): PublishedDocument | undefined {
  if (!instance.startsWith(RECORD_PREFIX)) return undefined
  return { number: FIRST_NUMBER, content: Buffer.from(instance.slice(RECORD_PREFIX.length), CONTENT_ENCODING) }
}
