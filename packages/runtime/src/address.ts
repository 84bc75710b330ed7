import { isIPv4, isIPv6 } from 'node:net'

const MAXIMUM_PORT = 65_535

/** Splits an `IP:PORT` address into host and port. */
export function splitAddress (address: string): { host: string, port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}

/** Whether the text is an IP:PORT to which a connection can be made; an IPv6 address is in brackets. */
export function isAddress (text: string): boolean {
  const { host, port } = splitAddress(text)
  const isIp = isIPv4(host) || (/^\[.*\]$/.test(host) && isIPv6(host.slice(1, -1)))
  return isIp && /:[1-9]\d{0,4}$/.test(text) && isPort(port)
}

/** Whether a connection can be made to this port. */
export function isPort (port: number): boolean {
  return Number.isInteger(port) && port >= 1 && port <= MAXIMUM_PORT
}
