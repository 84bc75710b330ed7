import { ChannelCredentials, type Server, ServerCredentials, experimental } from '@grpc/grpc-js'
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'

const REFRESH_INTERVAL_MILLISECONDS = 5_000

/** Paths of the PEM files of the certificate, its private key and the certificate authority. */
export interface CertificateFiles {
  readonly certificateFile: string
  readonly keyFile: string
  readonly authorityFile: string
}

/**
 * How connections between the system's own processes are secured: with mutual TLS, in plain text on loopback
 * addresses only, or in plain text on a network that the platform keeps private.
 */
export type InnerSecurity =
  | { readonly kind: 'mutual_tls', readonly files: CertificateFiles }
  | { readonly kind: 'plain_text' }
  | { readonly kind: 'private_network' }

/** The `[security]` section of a settings file. */
export type SecuritySection =
  | { readonly kind: 'mutual_tls', readonly certificate_file: string, readonly key_file: string, readonly authority_file: string }
  | { readonly kind: 'plain_text' }

/** Converts the `[security]` section of the settings. */
export function toInnerSecurity (section: SecuritySection): InnerSecurity {
  if (section.kind === 'plain_text') return section
  const files = { certificateFile: section.certificate_file, keyFile: section.key_file, authorityFile: section.authority_file }
  return { kind: section.kind, files }
}

/** Plain text is configured for an address that other machines can reach. */
export class PlainTextOutsideLoopback extends Failure {
  readonly code = 'plain_text_outside_loopback'

  private constructor (readonly address: string) {
    super(`plain text connections are only allowed on loopback addresses, not on ${address}`)
  }

  static create (address: string): PlainTextOutsideLoopback {
    return new PlainTextOutsideLoopback(address)
  }
}

/** Client and server credentials for connections between processes. Changed certificate files are reloaded. */
export class InnerCredentials {
  private readonly provider: InstanceType<typeof experimental.FileWatcherCertificateProvider> | undefined

  private constructor (readonly security: InnerSecurity, refreshIntervalMs: number) {
    if (security.kind === 'mutual_tls') {
      this.provider = new experimental.FileWatcherCertificateProvider({
        certificateFile: security.files.certificateFile,
        privateKeyFile: security.files.keyFile,
        caCertificateFile: security.files.authorityFile,
        refreshIntervalMs
      })
    }
  }

  static create (security: InnerSecurity, refreshIntervalMilliseconds = REFRESH_INTERVAL_MILLISECONDS): InnerCredentials {
    return new InnerCredentials(security, refreshIntervalMilliseconds)
  }

  /** Credentials for a client channel. */
  forChannel (): ChannelCredentials {
    if (this.provider === undefined) return ChannelCredentials.createInsecure()
    return experimental.createCertificateProviderChannelCredentials(this.provider, this.provider)
  }

  /** Credentials for a server. With mutual TLS, clients must present a certificate of the same authority. */
  forServer (): ServerCredentials {
    if (this.provider === undefined) return ServerCredentials.createInsecure()
    return experimental.createCertificateProviderServerCredentials(this.provider, this.provider, true)
  }

  /** Channel options that verify the server certificate against the name of the peer instead of its IP address. */
  channelOptions (peerName: string): Record<string, string> {
    return this.provider === undefined ? {} : { 'grpc.ssl_target_name_override': peerName }
  }

  /** Binds a server to IP:PORT and resolves with the bound port. */
  async bind (server: Server, address: string): Promise<Result<number, PlainTextOutsideLoopback | AddressNotBound>> {
    if (this.security.kind === 'plain_text' && !isLoopback(address)) return Err(PlainTextOutsideLoopback.create(address))
    return await new Promise((resolve) => {
      server.bindAsync(address, this.forServer(), (error, port) => {
        resolve(error === null ? Ok(port) : Err(AddressNotBound.create(address, error.message)))
      })
    })
  }
}

/** A server could not be bound to its address. */
export class AddressNotBound extends Failure {
  readonly code = 'address_not_bound'

  private constructor (readonly address: string, reason: string) {
    super(`cannot listen on ${address}: ${reason}`)
  }

  static create (address: string, reason: string): AddressNotBound {
    return new AddressNotBound(address, reason)
  }
}

/** Whether IP:PORT is a loopback address. */
export function isLoopback (address: string): boolean {
  const host = address.slice(0, address.lastIndexOf(':'))
  return host === '[::1]' || /^127\.\d+\.\d+\.\d+$/.test(host)
}
