/** JSON with sorted names, so that equal values give equal text. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, part: unknown) => isPlainObject(part) ? sortNames(part) : part)
}

function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function sortNames (value: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1))
}
