import { mkdtemp, rm } from 'node:fs/promises'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { ServingConfiguration, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import { ControlApi, type ControlApiAnswer } from '@hickoryspoke/control/control-api'
import { DispatchingControl } from '@hickoryspoke/control/dispatching-control'
import { DispatchedEntry } from '@hickoryspoke/entry/dispatched-entry'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { Connector } from '@hickoryspoke/request/connector'
import type { Dialect } from '@hickoryspoke/request/dialect'
import { callerResponseHeaders, headerValue } from '@hickoryspoke/request/header-filter'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { Ok } from 'ts-results-es'

const WAIT_TIMEOUT_MILLISECONDS = 20_000
const POLL_MILLISECONDS = 25

/** Region of each zone; the zones can be evacuated. */
const REGIONS = new Map([['zone-a', 'region-a'], ['zone-b', 'region-b']])
const DEFAULT_ZONE = 'zone-a'

/** Header names in these tests: `request`, `key`, `instance`, `not-run`, `leaving` and `unavailable-milliseconds`. */
const TEST_DIALECT: Dialect = {
  readCaller: (headers) => ({ requestId: headerValue(headers, 'request') ?? '', key: headerValue(headers, 'key'), patienceMilliseconds: undefined }),
  upstreamHeaders: (_, facts) => ['host', 'upstream', 'instance', facts.instance, 'customer', facts.customer],
  readAnswer: (_, headers) => ({
    notRun: headerValue(headers, 'not-run') !== undefined,
    misdirected: false,
    genuine: true,
    load: undefined,
    statedLimit: undefined,
    notice: {
      leaving: headerValue(headers, 'leaving') !== undefined,
      unavailableMilliseconds: Number(headerValue(headers, 'unavailable-milliseconds') ?? 0),
      born: undefined
    }
  }),
  responseHeaders: callerResponseHeaders
}

const createDependencies = () => ({
  clock: SystemClock.create(), random: SystemRandom.create(), logger: silentLogger(), credentials: InnerCredentials.create({ kind: 'plain_text' })
})

/** Fields of an announcement that differ from the defaults. */
export interface AnnouncementChanges {
  readonly draining?: boolean
  readonly sequence?: number
  readonly zone?: string
}

/** A control node with its request interface. */
export interface FleetControl {
  readonly address: string
  readonly control: DispatchingControl
  readonly api: ControlApi
}

/** Connectors by name of the entry; the others connect directly. */
export type EntryConnectors = Readonly<Record<string, Connector>>

/** Control nodes with a dispatcher and entries that use it, all in this process on loopback. */
export class DispatchedFleet {
  readonly controls: FleetControl[] = []
  readonly entries: { readonly name: string, readonly entry: DispatchedEntry, readonly url: string, readonly readiness: string }[] = []
  /** Data folders by address of the control node. */
  private readonly folders = new Map<string, string>()
  private readonly allFolders: string[] = []

  private constructor (
    private readonly addresses: readonly string[],
    private readonly freshMilliseconds: number,
    private readonly connectors: EntryConnectors,
    private readonly entryZones: Readonly<Record<string, string>>
  ) {}

  /**
   * Starts the given numbers of control nodes and entries and waits for a leader. Views of entries expire after `freshMilliseconds`.
   * `entryZones` holds the zones of entries by name; the others are in `zone-a`.
   */
  static async create (
    controls: number, entries: number, freshMilliseconds = 3_500, connectors: EntryConnectors = {}, entryZones: Readonly<Record<string, string>> = {}
  ): Promise<DispatchedFleet> {
    const fleet = new DispatchedFleet(await findFreeAddresses(controls), freshMilliseconds, connectors, entryZones)
    await Promise.all(fleet.addresses.map(async (address) => await fleet.startControl(address, true)))
    for (let number = 1; number <= entries; number += 1) await fleet.startEntry(`entry-${number}`)
    await fleet.leader()
    return fleet
  }

  /** Waits for a leader and returns it. */
  async leader (): Promise<FleetControl> {
    return await waitFor(() => this.controls.find(({ control }) => control.isLeader))
  }

  /** Sends a configuration to the leader until it is acknowledged. */
  async publish (configuration: ServingConfiguration): Promise<void> {
    const document = { number: configuration.number, content: Buffer.from(JSON.stringify(configuration)) }
    await waitFor(async () => {
      const answer = await (await this.leader()).api.publish(document)
      return answer.kind === 'done' ? true : undefined
    })
  }

  /** Sends an announcement to the leader until it is acknowledged. */
  async announce (instance: string, address: string, changes: AnnouncementChanges = {}): Promise<void> {
    await waitFor(async () => {
      const answer = await this.announceTo(await this.leader(), instance, address, changes)
      return answer.kind === 'done' ? true : undefined
    })
  }

  /** Sends an announcement once. */
  async announceTo (control: FleetControl, instance: string, address: string, changes: AnnouncementChanges = {}): Promise<ControlApiAnswer> {
    return await control.api.announce({
      instance, pool: 'ledger', address, zone: 'zone-a', slots: 2, draining: false, warmupMilliseconds: 0, born: 1, sequence: 1, version: '', gone: false, ...changes
    })
  }

  /** Evacuates a zone or takes it back, by calls to the leader until one is acknowledged. */
  async setEvacuation (zone: string, isEvacuated: boolean): Promise<void> {
    await waitFor(async () => {
      const answer = await (await this.leader()).api.setEvacuation(zone, isEvacuated)
      return answer.kind === 'done' ? true : undefined
    })
  }

  /** Waits until every entry is ready. */
  async waitUntilReady (): Promise<void> {
    await waitFor(() => this.entries.every(({ entry }) => entry.isReady) ? true : undefined)
  }

  /** Stops a control node and removes it from the fleet, as when its VM is lost. */
  async stopControl (lost: FleetControl): Promise<void> {
    this.controls.splice(this.controls.indexOf(lost), 1)
    await lost.control.stop()
  }

  /** Ends all nodes and starts them again, as when all VMs lose power: only the data folders of the control nodes are kept. */
  async restartAll (): Promise<void> {
    const names = this.entries.map(({ name }) => name)
    await Promise.all(this.entries.splice(0).map(async ({ entry }) => await entry.stop()))
    await Promise.all(this.controls.splice(0).map(async ({ control }) => await control.stop()))
    await Promise.all(this.addresses.map(async (address) => await this.runControl(address, this.folders.get(address) ?? '', false)))
    for (const name of names) await this.startEntry(name)
    await this.leader()
  }

  /** Starts a control node with an empty data folder. */
  async startControl (address: string, firstOfFleet: boolean): Promise<FleetControl> {
    const folder = await mkdtemp(join(tmpdir(), 'dispatched-'))
    this.folders.set(address, folder)
    this.allFolders.push(folder)
    return await this.runControl(address, folder, firstOfFleet)
  }

  private async runControl (address: string, folder: string, firstOfFleet: boolean): Promise<FleetControl> {
    const parts = createDependencies()
    const started = await DispatchingControl.start({
      address,
      zone: DEFAULT_ZONE,
      zoneRegions: REGIONS,
      cluster: 'test',
      folder,
      onEmptyFolder: firstOfFleet ? 'form' : 'join',
      seeds: [...this.addresses],
      minimumVoters: this.addresses.length,
      catchUpMilliseconds: 4_000,
      firstOfFleet,
      budget: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
      floorShare: 0.7,
      freshMilliseconds: this.freshMilliseconds,
      applyMilliseconds: 2_000,
      evacuateMilliseconds: 5_000,
      overage: { windowMilliseconds: 5_000, share: 0.1, requests: 20 },
      silentUpstreamMilliseconds: 60_000
    }, { ...parts, decode: (document) => Ok(JSON.parse(document.content.toString()) as ServingConfiguration) })
    const control = started.unwrap()
    const fleetControl = { address, control, api: ControlApi.create({ control, ...parts, requiredVoters: this.addresses.length, zones: [...REGIONS.keys()] }) }
    this.controls.push(fleetControl)
    return fleetControl
  }

  async stop (): Promise<void> {
    await Promise.all(this.entries.map(async ({ entry }) => await entry.stop()))
    await Promise.all(this.controls.map(async ({ control }) => await control.stop()))
    await Promise.all(this.allFolders.map(async (folder) => await rm(folder, { recursive: true, force: true })))
  }

  private async startEntry (name: string): Promise<void> {
    const [callers, readiness, relay] = await findFreeAddresses(3) as [string, string, string]
    const started = await DispatchedEntry.start({
      name,
      zone: this.entryZones[name] ?? DEFAULT_ZONE,
      zoneRegions: REGIONS,
      callers,
      readiness,
      readinessPath: '/ready',
      relay,
      freshMilliseconds: this.freshMilliseconds,
      rateWindowMilliseconds: 5_000,
      stopMilliseconds: 3_200,
      seeds: () => this.addresses
    }, { ...createDependencies(), dialect: TEST_DIALECT, connector: this.connectors[name] })
    this.entries.push({ name, entry: started.unwrap(), url: `http://${callers}`, readiness: `http://${readiness}/ready` })
  }
}

/** Creates a configuration with one pool and the given routes. */
export function fleetConfiguration (number: number, routes: readonly Partial<ServingRoute>[]): ServingConfiguration {
  return {
    number,
    keyed: false,
    bounds: { maximumHeaderBytes: 16_384, maximumBodyBytes: 100_000, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 },
    pools: [{ name: 'ledger', healthPath: '/', maximumConnections: 100 }],
    customers: [],
    routes: routes.map((route) => ({
      name: 'all',
      host: '127.0.0.1',
      prefix: '/',
      mayRepeat: false,
      timeoutMilliseconds: 10_000,
      targetMilliseconds: 5_000,
      priority: 1,
      shares: [{ pool: 'ledger', weight: 1 }],
      maximumAttempts: 2,
      open: true,
      ...route
    }))
  }
}

/** Polls until `find` returns a value. */
export async function waitFor<Value> (find: () => Value | undefined | Promise<Value | undefined>): Promise<Value> {
  const clock = SystemClock.create()
  const end = clock.monotonicMilliseconds() + WAIT_TIMEOUT_MILLISECONDS
  for (;;) {
    const value = await find()
    if (value !== undefined) return value
    if (clock.monotonicMilliseconds() > end) throw new Error('condition not met in time')
    await sleep(clock, POLL_MILLISECONDS)
  }
}

async function findFreeAddresses (count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return server
  }))
  const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`)
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))))
  return addresses
}
