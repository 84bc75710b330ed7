import { Err, Ok, type Result } from 'ts-results-es'
import { Refusal } from './refusal.ts'

/** Headers as in Node's `rawHeaders`: alternating names and values, including repeated names. */
export type RawHeaders = readonly string[]

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'http2-settings'
])
const REMOVED_FROM_REQUEST: ReadonlySet<string> = new Set(['authorization', 'expect', 'content-length'])
const RESPONSE_FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length'])
const END_TO_END_HEADERS: ReadonlySet<string> = new Set([
  'host', 'content-length', 'content-type', 'content-encoding', 'content-range', 'range', 'authorization', 'cookie', 'idempotency-key', 'expect'
])
/** Common headers whose values are not looked up in the key table, to save hashing them. */
const HEADERS_WITHOUT_KEYS: ReadonlySet<string> = new Set([
  'host', 'accept', 'accept-encoding', 'accept-language', 'user-agent', 'content-type', 'content-encoding', 'cache-control', 'date', 'sec-fetch-mode'
])
const OWN_PREFIX = 'hickoryspoke-'
const MINIMUM_KEY_CHARACTERS = 8

/** Returns the value of the first header with a name. `wanted` must be in lower case. */
export function headerValue (headers: RawHeaders, wanted: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === wanted) return headers[index + 1]
  }
  return undefined
}

/** Counts the headers with a name. `wanted` must be in lower case. */
export function headerCount (headers: RawHeaders, wanted: string): number {
  let count = 0
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === wanted) count += 1
  }
  return count
}

/** Returns the headers to send to an upstream, without hop-by-hop headers, credentials, and headers that contain a key. */
export function upstreamRequestHeaders (headers: RawHeaders, key: string | undefined, isKey: (text: string) => boolean): Result<string[], Refusal> {
  const connectionHeaders = headersNamedInConnection(headers)
  for (const name of connectionHeaders) {
    if (isEndToEnd(name) || name.startsWith(OWN_PREFIX)) return Err(Refusal.create('bad_connection_header'))
  }
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    const value = headers[index + 1] as string
    if (HOP_BY_HOP.has(name) || REMOVED_FROM_REQUEST.has(name) || name.startsWith(OWN_PREFIX) || connectionHeaders.has(name)) continue
    if (containsKey(value, key) || containsKey(name, key?.toLowerCase())) continue
    if (!HEADERS_WITHOUT_KEYS.has(name) && isKey(value)) continue
    kept.push(name, value)
  }
  return Ok(kept)
}

/** Returns the headers of an upstream's response to pass on. Framing headers are omitted because the relay sets its own. */
export function callerResponseHeaders (headers: RawHeaders): string[] {
  const connectionHeaders = headersNamedInConnection(headers)
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    if (HOP_BY_HOP.has(name) || RESPONSE_FRAMING_HEADERS.has(name) || name.startsWith(OWN_PREFIX) || connectionHeaders.has(name)) continue
    kept.push(headers[index] as string, headers[index + 1] as string)
  }
  return kept
}

/** Whether a value in a query string is a valid key. */
export function queryContainsKey (query: string, isKey: (text: string) => boolean): boolean {
  if (query === '') return false
  return [...new URLSearchParams(query).values()].some(isKey)
}

/** Whether a text contains the key, literally or percent-encoded. */
export function containsKey (text: string, key: string | undefined): boolean {
  if (key === undefined || key.length < MINIMUM_KEY_CHARACTERS) return false
  return text.includes(key) || (text.includes('%') && decodeValidEscapes(text).includes(key))
}

function decodeValidEscapes (text: string): string {
  return text.replace(/%([0-9A-Fa-f]{2})/g, (_, digits: string) => String.fromCharCode(Number.parseInt(digits, 16)))
}

/** Whether a header, by its name in lower case, is meant for all recipients, whatever a Connection header says. */
export function isEndToEnd (name: string): boolean {
  return END_TO_END_HEADERS.has(name)
}

/** Names in lower case that all Connection headers list, but for `close` and `keep-alive`. */
export function headersNamedInConnection (headers: RawHeaders): ReadonlySet<string> {
  const named = new Set<string>()
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() !== 'connection') continue
    for (const name of (headers[index + 1] as string).split(',')) {
      const plain = name.trim().toLowerCase()
      if (plain !== '' && plain !== 'close' && plain !== 'keep-alive') named.add(plain)
    }
  }
  return named
}
