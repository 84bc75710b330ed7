import type { ServerReadableStream, ServerDuplexStream, ServerUnaryCall } from '@grpc/grpc-js'

type AnyCall = Pick<ServerReadableStream<unknown, unknown> | ServerDuplexStream<unknown, unknown> | ServerUnaryCall<unknown, unknown>, 'getAuthContext'>

/** Names in the caller's certificate; undefined on plain text. */
export function certifiedNames (call: AnyCall): ReadonlySet<string> | undefined {
  const certificate = call.getAuthContext().sslPeerCertificate
  if (certificate === undefined) return undefined
  const commonNames = [certificate.subject?.CN ?? []].flat()
  const alternatives = (certificate.subjectaltname ?? '').split(',').map((part) => part.trim())
  const names = alternatives.filter((part) => part.startsWith('DNS:')).map((part) => part.slice('DNS:'.length))
  return new Set([...names, ...commonNames])
}

/** Whether the caller may speak under a name: on mutual TLS its certificate must carry it. */
export function mayActAs (call: AnyCall, name: string): boolean {
  const names = certifiedNames(call)
  return names === undefined || names.has(name)
}
