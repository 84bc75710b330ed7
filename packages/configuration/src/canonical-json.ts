/** Serializes a value as JSON with sorted keys, so that equal values give equal text. Members that are `undefined` are omitted. */
export function canonicalJson (value: unknown): string {
  if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? 'null'
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`
  return canonicalObject(value as Record<string, unknown>)
}

function canonicalObject (value: Record<string, unknown>): string {
  const members: string[] = []
  for (const name of Object.keys(value).sort()) {
    const member = value[name]
    if (member !== undefined) members.push(`${JSON.stringify(name)}:${canonicalJson(member)}`)
  }
  return `{${members.join(',')}}`
}
