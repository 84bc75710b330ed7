import type { ServerReadableStream, ServerDuplexStream, ServerUnaryCall } from '@grpc/grpc-js'

type AnyCall = Pick<ServerReadableStream<unknown, unknown> | ServerDuplexStream<unknown, unknown> | ServerUnaryCall<unknown, unknown>, 'getAuthContext'>

/** Common names and DNS names in the certificate of the client; undefined without TLS. */
export function certificateNames (call: AnyCall): ReadonlySet<string> | undefined {
  const certificate = call.getAuthContext().sslPeerCertificate
  if (certificate === undefined) return undefined
  const commonNames = [certificate.subject?.CN ?? []].flat()
  const alternatives = (certificate.subjectaltname ?? '').split(',').map((part) => part.trim())
  const names = alternatives.filter((part) => part.startsWith('DNS:')).map((part) => part.slice('DNS:'.length))
  return new Set([...names, ...commonNames])
}

/** Whether the client may use a name. With mutual TLS its certificate must contain the name; without TLS any is allowed. */
export function mayActAs (call: AnyCall, name: string): boolean {
  const names = certificateNames(call)
  return names === undefined || names.has(name)
}
