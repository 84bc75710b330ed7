import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'

const VISIBLE_ASCII = /^[\x21-\x7e]+$/
const BAD_ESCAPE = /%(?![0-9A-Fa-f]{2})/
const UNSAFE_CHARACTER = /\\|%2f|%5c|%00/i
const DOT_WITH_PARAMETER = /\/\.{1,2};/
const ESCAPE = /%[0-9A-Fa-f]{2}/g
const UNRESERVED = /[A-Za-z0-9._~-]/
const PLAIN_PATH = /^(?:\/[A-Za-z0-9_~!$&'()*+,:=@-][A-Za-z0-9._~!$&'()*+,;:=@-]*)+\/?$/

/** A malformed or ambiguous request target, for which no route may be chosen. */
export class BadTarget extends Failure {
  readonly code = 'bad_target'

  static create (message: string): BadTarget {
    return new BadTarget(message)
  }
}

/** A normalised request target. `query` includes the question mark, or is empty. */
export interface RequestTarget {
  readonly path: string
  readonly query: string
}

/** Normalises an origin-form target. Routing and the upstream must use the same result, so that they cannot disagree about the path. */
export function normaliseTarget (target: string): Result<RequestTarget, BadTarget> {
  if (!target.startsWith('/')) return Err(BadTarget.create('the target must be a path'))
  if (!VISIBLE_ASCII.test(target) || target.includes('#')) return Err(BadTarget.create('the target holds a character that must be escaped'))
  const queryStart = target.indexOf('?')
  const path = queryStart === -1 ? target : target.slice(0, queryStart)
  const query = queryStart === -1 ? '' : target.slice(queryStart)
  return normalisePath(path).map((normal) => ({ path: normal, query }))
}

/** Normalises a path: decodes escaped unreserved characters, merges repeated slashes and resolves dot segments. */
export function normalisePath (path: string): Result<string, BadTarget> {
  if (PLAIN_PATH.test(path)) return Ok(path)
  if (BAD_ESCAPE.test(path)) return Err(BadTarget.create('a percent sign without two hexadecimal digits'))
  if (UNSAFE_CHARACTER.test(path)) return Err(BadTarget.create('an escaped slash, a backslash or a null character in the path'))
  const decoded = path.replace(ESCAPE, decodeUnreserved)
  if (DOT_WITH_PARAMETER.test(decoded)) return Err(BadTarget.create('a dot segment with a parameter'))
  return Ok(resolveDotSegments(decoded))
}

/** Splits a path into segments for route matching, without empty segments and path parameters (`;...`). */
export function matchSegments (path: string): string[] {
  const segments: string[] = []
  for (const segment of path.split('/')) {
    if (segment === '') continue
    const semicolon = segment.indexOf(';')
    segments.push(semicolon === -1 ? segment : segment.slice(0, semicolon))
  }
  return segments
}

function decodeUnreserved (escape: string): string {
  const character = String.fromCharCode(Number.parseInt(escape.slice(1), 16))
  return UNRESERVED.test(character) ? character : escape.toUpperCase()
}

function resolveDotSegments (path: string): string {
  const kept: string[] = []
  const segments = path.split('/')
  for (const segment of segments) {
    if (segment === '..') kept.pop()
    else if (segment !== '' && segment !== '.') kept.push(segment)
  }
  const last = segments.at(-1)
  const hasTrailingSlash = kept.length > 0 && (last === '' || last === '.' || last === '..')
  return `/${kept.join('/')}${hasTrailingSlash ? '/' : ''}`
}
