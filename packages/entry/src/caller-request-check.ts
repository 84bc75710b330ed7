import type { IncomingMessage } from 'node:http'
import { headerCount, headersNamedInConnection, headerValue } from '@hickoryspoke/request/header-filter'
import { Refusal } from '@hickoryspoke/request/refusal'
import { headerLineBytes } from '@hickoryspoke/runtime/request-head'

const HOST_PATTERN = /^(?:[A-Za-z0-9](?:[A-Za-z0-9._-]{0,252})|\[[0-9A-Fa-f:.]{2,45}\])(?::\d{1,5})?$/
/** The parser also lets through control characters in front of a space, with which a request cannot be sent on. */
const TARGET_PATTERN = /^[\x21-\xff]+$/
/** Protocols whose callers cannot use a response without the change. An offer of any other may be ignored. */
const UNSUPPORTED_PROTOCOLS: ReadonlySet<string> = new Set(['websocket'])
const UNSUPPORTED_METHODS: ReadonlySet<string> = new Set(['TRACE', 'CONNECT'])

/** Validates a request head more strictly than the parser of Node.js. Returns undefined if the request is valid. */
export function checkRequestHead (request: IncomingMessage, maximumHeaderBytes: number): Refusal | undefined {
  const headers = request.rawHeaders
  if (headerLineBytes(headers) > maximumHeaderBytes) return Refusal.create('headers_too_large')
  if (request.httpVersion !== '1.1') return Refusal.create('http_version_not_supported')
  if (UNSUPPORTED_METHODS.has(request.method ?? '')) return Refusal.create('method_not_supported')
  if (offeredProtocols(headers).some((name) => UNSUPPORTED_PROTOCOLS.has(name))) return Refusal.create('upgrade_not_supported')
  if (!TARGET_PATTERN.test(request.url ?? '')) return Refusal.create('bad_target', 'the request target has a character that is not allowed')
  if (headerCount(headers, 'host') !== 1) return Refusal.create('bad_request', 'exactly one Host header is needed')
  if (!HOST_PATTERN.test(request.headers.host ?? '')) return Refusal.create('bad_request', 'the Host header is not a host')
  if (headerCount(headers, 'content-length') > 1) return Refusal.create('bad_request', 'more than one Content-Length')
  return checkTransferCoding(headers)
}

/** Whether the parser may lose what follows the request on its connection: the end of a body whose request offers another protocol. */
export function endsInput ({ rawHeaders }: IncomingMessage): boolean {
  const hasBody = headerValue(rawHeaders, 'transfer-encoding') !== undefined || Number(headerValue(rawHeaders, 'content-length') ?? 0) > 0
  return hasBody && offeredProtocols(rawHeaders).length > 0
}

/** Protocols to which the caller offers to change, in lower case and without their versions. Without a Connection header it is no offer. */
function offeredProtocols (headers: readonly string[]): string[] {
  if (!headersNamedInConnection(headers).has('upgrade')) return []
  return (headerValue(headers, 'upgrade') ?? '').split(',').map((offer) => (offer.split('/')[0] ?? '').trim().toLowerCase()).filter(Boolean)
}

function checkTransferCoding (headers: readonly string[]): Refusal | undefined {
  const transferCoding = headerValue(headers, 'transfer-encoding')
  if (transferCoding === undefined) return undefined
  if (headerCount(headers, 'content-length') > 0) return Refusal.create('bad_request', 'both Content-Length and Transfer-Encoding')
  if (headerCount(headers, 'transfer-encoding') > 1) return Refusal.create('bad_request', 'more than one Transfer-Encoding')
  return transferCoding.toLowerCase().trim() === 'chunked' ? undefined : Refusal.create('bad_request', 'the only transfer coding is chunked')
}
