/** Splits an `IP:PORT` address into host and port. */
export function splitAddress (address: string): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}
