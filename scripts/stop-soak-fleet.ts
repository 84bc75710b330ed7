/** The platform's programs as processes on loopback, each at an address of its own, for the stop soak. */
import { type ChildProcess, spawn } from 'node:child_process'
import { closeSync, openSync } from 'node:fs'
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { bundlePrograms } from './bundle.ts'
import { programArguments, readPlatformPrograms, type PlatformProgram } from './platform-programs.ts'
import { delay } from './process-fleet.ts'
import { parseLog, type LogLine } from './stop-soak-logs.ts'
import { ProcessEventKind, type ProcessEvent } from './stop-soak-records.ts'
import type { ScheduledProcess } from './stop-soak-schedule.ts'
import { settingsText, type FleetPorts, type ProcessPlace } from './stop-soak-settings.ts'

const READY_POLL_MILLISECONDS = 100
const READY_TIMEOUT_MILLISECONDS = 30_000
const ANSWER_TIMEOUT_MILLISECONDS = 1_000
const HTTP_OK = 200
const METRICS_PORT = 19_464
const ZONES = 3
const FIRST_ADDRESS = { core: 10, front: 20 } as const

/** A process of the fleet; `child` is replaced by each start. */
export interface SoakProcess extends ProcessPlace {
  readonly index: number
  readonly logFile: string
  child: ChildProcess
}

/** Number of processes, and where their events are recorded. */
export interface SoakFleetOptions {
  readonly control: number
  readonly entries: number
  readonly now: () => number
  readonly record: (event: ProcessEvent) => void
}

export class SoakFleet {
  readonly processes: SoakProcess[] = []
  private isStopped = false

  private constructor (
    private readonly options: SoakFleetOptions,
    private readonly folder: string,
    private readonly programs: readonly PlatformProgram[],
    readonly network: string,
    private readonly ports: FleetPorts
  ) {}

  /** Bundles the programs and starts all processes. */
  static async start (options: SoakFleetOptions): Promise<SoakFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-stop-soak-'))
    const programs = await readPlatformPrograms()
    await bundlePrograms(join(folder, 'programs'), programs)
    const fleet = new SoakFleet(options, folder, programs, await findNetwork(), await findPorts())
    for (let index = 0; index < options.control; index += 1) await fleet.add('core', index)
    for (let index = 0; index < options.entries; index += 1) await fleet.add('front', index)
    return fleet
  }

  get entries (): SoakProcess[] {
    return this.processes.filter((process) => process.role === 'front')
  }

  get controlAddresses (): string[] {
    return Array.from({ length: this.options.control }, (_, index) => `${this.address('core', index)}:${this.ports.control}`)
  }

  callerAddress (entry: SoakProcess): { readonly host: string, readonly port: number } {
    return { host: entry.ip, port: this.ports.callers }
  }

  find ({ role, index }: ScheduledProcess): SoakProcess {
    const found = this.processes.find((process) => process.role === role && process.index === index)
    if (found === undefined) throw new Error(`no process ${role} ${index}`)
    return found
  }

  zone (index: number): string {
    return `zone-${index % ZONES}`
  }

  /** Sends a signal to a process that runs, and records it. */
  signal (process: SoakProcess, kind: ProcessEventKind, signal: NodeJS.Signals): void {
    if (hasEnded(process.child)) return
    this.options.record({ at: this.options.now(), process: process.name, kind, signal })
    process.child.kill(signal)
  }

  /** Starts a process again after its end. */
  async restart (process: SoakProcess): Promise<void> {
    if (this.isStopped) return
    await this.writeSettings(process, false)
    process.child = this.spawn(process)
  }

  /** Waits until a process has ended; false if it has not after the given time. */
  async waitForEnd (process: SoakProcess, limitMilliseconds: number): Promise<boolean> {
    const { child } = process
    if (hasEnded(child)) return true
    return await new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), limitMilliseconds)
      child.once('exit', () => {
        clearTimeout(timer)
        resolve(true)
      })
    })
  }

  async isReady (entry: SoakProcess): Promise<boolean> {
    const url = `http://${entry.ip}:${this.ports.readiness}/-/readiness`
    const answer = await fetch(url, { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS) }).catch(() => undefined)
    await answer?.arrayBuffer().catch(() => undefined)
    return answer?.status === HTTP_OK
  }

  /** Waits until an entry says that it is ready, and records if it does not. */
  async waitUntilReady (entry: SoakProcess): Promise<void> {
    const end = performance.now() + READY_TIMEOUT_MILLISECONDS
    while (performance.now() < end && !this.isStopped) {
      if (await this.isReady(entry)) return
      await delay(READY_POLL_MILLISECONDS)
    }
    if (!this.isStopped) this.options.record({ at: this.options.now(), process: entry.name, kind: ProcessEventKind.NotReady })
  }

  /** The log lines of all processes. */
  async readLogs (): Promise<LogLine[]> {
    const logs = await Promise.all(this.processes.map(async ({ name, logFile }) => parseLog(name, await readFile(logFile, 'utf8'))))
    return logs.flat()
  }

  /** Ends all processes and removes their files. */
  async stop (): Promise<void> {
    this.isStopped = true
    for (const process of this.processes) if (!hasEnded(process.child)) process.child.kill('SIGKILL')
    await Promise.all(this.processes.map(async (process) => await this.waitForEnd(process, READY_TIMEOUT_MILLISECONDS)))
    await rm(this.folder, { recursive: true, force: true })
  }

  private address (role: ProcessPlace['role'], index: number): string {
    return `${this.network}.${FIRST_ADDRESS[role] + index}`
  }

  private async add (role: ProcessPlace['role'], index: number): Promise<void> {
    const name = `${role === 'core' ? 'control' : 'entry'}-${index}`
    const folder = join(this.folder, name)
    await mkdir(folder)
    const place = { role, index, name, ip: this.address(role, index), zone: this.zone(index), folder, logFile: `${folder}.log` }
    await this.writeSettings(place, true)
    this.processes.push({ ...place, child: this.spawn(place) })
  }

  private async writeSettings (place: ProcessPlace, isFirstStart: boolean): Promise<void> {
    await writeFile(`${place.folder}.toml`, settingsText(place, this.ports, this.controlAddresses, isFirstStart))
  }

  private spawn ({ role, name, folder, logFile }: ProcessPlace & { readonly logFile: string }): ChildProcess {
    const program = this.programs.find((candidate) => candidate.role === role)
    if (program === undefined) throw new Error(`the deploy file has no role ${role}`)
    const log = openSync(logFile, 'a')
    const environment = { PATH: process.env['PATH'], HICKORYSPOKE_SETTINGS: `${folder}.toml` }
    const child = spawn(process.execPath, programArguments(program, join(this.folder, 'programs')), { env: environment, stdio: ['ignore', log, log] })
    closeSync(log)
    const { now, record } = this.options
    record({ at: now(), process: name, kind: ProcessEventKind.Started })
    child.once('exit', (code, signal) => {
      if (!this.isStopped) record({ at: now(), process: name, kind: ProcessEventKind.Ended, code, ...(signal === null ? {} : { signal }) })
    })
    return child
  }
}

/** Whether a process has ended. */
export function hasEnded (child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null
}

/** Finds a part of the loopback network that no other fleet uses; the port of the metrics is the same for all. */
async function findNetwork (): Promise<string> {
  for (;;) {
    const network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    if (await freePort(`${network}.${FIRST_ADDRESS.core}`, METRICS_PORT) !== undefined) return network
  }
}

async function findPorts (): Promise<FleetPorts> {
  const [callers = 0, readiness = 0, control = 0, inner = 0] = await Promise.all([0, 0, 0, 0].map(async (port) => await freePort('127.0.0.1', port)))
  return { callers, readiness, control, inner }
}

/** A port that can be listened on, or undefined; port 0 stands for any. */
async function freePort (host: string, wanted: number): Promise<number | undefined> {
  const server = createServer()
  const isFree = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(wanted, host, () => resolve(true))
  })
  const address = server.address()
  if (!isFree || address === null || typeof address === 'string') return undefined
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return address.port
}
