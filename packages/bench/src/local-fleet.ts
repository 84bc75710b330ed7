import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseTomlDocument } from '@hickoryspoke/configuration/toml-document'
import { ControlNode } from '@hickoryspoke/control/control-node'
import { controlSettingsSchema } from '@hickoryspoke/control/control-settings'
import { EntryNode } from '@hickoryspoke/entry/entry-node'
import { entrySettingsSchema } from '@hickoryspoke/entry/entry-settings'
import { ControlClient } from '@hickoryspoke/operator/control-client'
import { InnerCredentials, type SecuritySection, toInnerSecurity } from '@hickoryspoke/protocol/inner-credentials'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import * as z from 'zod'
import { Announcer } from './announcer.ts'
import { FakeUpstream } from './fake-upstream.ts'

const EXAMPLE_FOLDER = 'examples/local'
const ANY_PORT = '127.0.0.1:0'
const POOL = 'ledger'
const ENTRIES = [{ name: 'entry-1', zone: 'zone-a' }, { name: 'entry-2', zone: 'zone-b' }] as const
const UPSTREAMS = [{ name: 'ledger-1', zone: 'zone-a' }, { name: 'ledger-2', zone: 'zone-b' }, { name: 'ledger-3', zone: 'zone-a' }] as const
const LEASE_MILLISECONDS = 3_000
const APPLY_TIMEOUT_MILLISECONDS = 30_000
const POLL_MILLISECONDS = 50
const PLAIN_TEXT = { kind: 'plain_text' } as const

/** Returns the security settings of a process by its name. */
export type SecurityResolver = (name: string) => SecuritySection

/** Keys and tokens of the example in `examples/local`. */
const secretsSchema = z.strictObject({
  operator_token: z.string(),
  authority_token: z.string(),
  keys: z.record(z.string(), z.string()),
  announce_tokens: z.record(z.string(), z.string())
})

export type LocalSecrets = z.output<typeof secretsSchema>

/** Dependencies that the processes of the fleet share. */
export interface LocalFleetDependencies {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

/** One control node, two entries and three fake upstreams, all in this process on loopback. */
export class LocalFleet {
  private constructor (
    private readonly folder: string,
    readonly control: ControlNode,
    readonly entries: readonly EntryNode[],
    readonly upstreams: readonly FakeUpstream[],
    private readonly announcers: readonly Announcer[],
    readonly secrets: LocalSecrets
  ) {}

  /** Starts all nodes, applies the example configuration, and resolves when every entry serves requests. */
  static async start (dependencies: LocalFleetDependencies, security: SecurityResolver = () => PLAIN_TEXT): Promise<LocalFleet> {
    const secrets = parseTomlDocument(await readFile(join(EXAMPLE_FOLDER, 'secrets.toml'), 'utf8'), secretsSchema).unwrap()
    const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-local-'))
    const control = await startControl(folder, secrets, dependencies, security)
    const entries = await Promise.all(ENTRIES.map(async (entry) => await startEntry(entry, control, dependencies, security)))
    await applyFile(control, secrets.operator_token, dependencies.clock, security)
    await Promise.all(entries.map(async (entry) => await waitUntilJoined(entry, dependencies.clock)))
    const upstreams = await Promise.all(UPSTREAMS.map(async ({ name }) => await FakeUpstream.start({ ...dependencies, name })))
    const announcers = upstreams.map((upstream, index) => startAnnouncer(upstream, index, entries, secrets, dependencies.clock))
    const fleet = new LocalFleet(folder, control, entries, upstreams, announcers, secrets)
    await fleet.waitUntilServing(dependencies.clock)
    return fleet
  }

  /** Addresses and secrets that `npm start -- --json` prints. */
  describe (): Record<string, unknown> {
    return {
      ready: true,
      entries: this.entries.map((entry) => ({ public: `http://${entry.publicAddress}`, inner: `http://${entry.innerAddress}` })),
      control: [this.control.address],
      operatorToken: this.secrets.operator_token,
      authorityToken: this.secrets.authority_token,
      announceTokens: this.secrets.announce_tokens,
      keys: this.secrets.keys,
      upstreams: this.upstreams.map((upstream) => upstream.address)
    }
  }

  /** Stops the entries first so that requests in flight can finish. */
  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async (entry) => await entry.stop()))
    await Promise.all(this.announcers.map(async (announcer) => await announcer.stopWithoutWithdrawal()))
    await Promise.all(this.upstreams.map(async (upstream) => await upstream.stop()))
    await this.control.stop()
    await rm(this.folder, { recursive: true, force: true })
  }

  /** Resolves with the failure of the control node, if its storage fails. */
  async whenFailed (): Promise<Failure | undefined> {
    return await this.control.whenFailed()
  }

  unfinished (): string {
    return this.entries.map((entry) => entry.unfinished()).join('; ')
  }

  /** Waits until every entry knows the announced upstreams, which shows in a 200 response on the route without authentication. */
  private async waitUntilServing (clock: Clock): Promise<void> {
    for (const entry of this.entries) {
      while ((await fetch(`http://${entry.publicAddress}/public`)).status !== 200) await pollDelay(clock)
    }
  }
}

async function startControl (
  folder: string,
  secrets: LocalSecrets,
  dependencies: LocalFleetDependencies,
  security: SecurityResolver
): Promise<ControlNode> {
  const settings = controlSettingsSchema.parse({
    name: 'control-1',
    zone: 'zone-a',
    cluster: 'local',
    data_folder: join(folder, 'control-1'),
    on_empty_folder: 'form',
    listen: ANY_PORT,
    replicas: [{ name: 'control-1', address: ANY_PORT }],
    operators: [
      { name: 'operator', role: 'operator', digest: sha256Digest(secrets.operator_token) },
      { name: 'authority', role: 'authority', digest: sha256Digest(secrets.authority_token) }
    ],
    security: security('control-1')
  })
  return (await ControlNode.start(settings, dependencies)).unwrap()
}

async function startEntry (
  entry: typeof ENTRIES[number],
  control: ControlNode,
  dependencies: LocalFleetDependencies,
  security: SecurityResolver
): Promise<EntryNode> {
  const settings = entrySettingsSchema.parse({
    ...entry,
    listen: { public: ANY_PORT, inner: ANY_PORT, peer: ANY_PORT },
    control: [{ name: 'control-1', address: control.address }],
    security: security(entry.name),
    shutdown: { announce_seconds: 0 }
  })
  return (await EntryNode.start(settings, { ...dependencies, logger: dependencies.logger.with({ name: entry.name }) })).unwrap()
}

async function applyFile (control: ControlNode, token: string, clock: Clock, security: SecurityResolver): Promise<void> {
  const file = await readFile(join(EXAMPLE_FOLDER, 'fleet.toml'), 'utf8')
  const inner = InnerCredentials.create(toInnerSecurity(security('operator')))
  const credentials = inner.forChannel()
  const client = ControlClient.create({ addresses: [control.address], token, credentials, timeoutMilliseconds: APPLY_TIMEOUT_MILLISECONDS, clock })
  const applied = await client.change((connection, metadata, deadline, callback) => connection.apply({ file }, metadata, deadline, callback))
  client.close()
  applied.unwrap()
}

function startAnnouncer (upstream: FakeUpstream, index: number, entries: readonly EntryNode[], secrets: LocalSecrets, clock: Clock): Announcer {
  return Announcer.create({
    upstream,
    pool: POOL,
    zone: UPSTREAMS[index]?.zone ?? 'zone-a',
    token: secrets.announce_tokens[POOL] ?? '',
    entries: entries.map((entry) => `http://${entry.innerAddress}`),
    leaseMilliseconds: LEASE_MILLISECONDS,
    incarnation: Math.floor(clock.wallMilliseconds()),
    clock
  })
}

/** Resolves when an entry is ready and all entries of the example are enrolled. */
async function waitUntilJoined (entry: EntryNode, clock: Clock): Promise<void> {
  await entry.waitUntilReady()
  while (entry.enrolledEntries() < ENTRIES.length || !entry.isMembershipApplied()) await pollDelay(clock)
}

async function pollDelay (clock: Clock): Promise<void> {
  await new Promise<void>((resolve) => clock.schedule(POLL_MILLISECONDS, resolve))
}
