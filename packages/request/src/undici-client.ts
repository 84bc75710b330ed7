/** The client of undici alone: its main module also loads fetch, web sockets and caches, which an entry does not use. */
import type { Client as UndiciClient } from 'undici'
// @ts-expect-error The module has no types of its own.
import UntypedClient from 'undici/lib/dispatcher/client.js'

/** A client for one connection to an upstream. */
export const Client = UntypedClient as typeof UndiciClient

/** A client for one connection to an upstream. */
export type Client = UndiciClient
