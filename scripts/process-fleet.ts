/** A fleet of real processes on loopback, started from the bundles in `dist/bin/`, for measurements and the soak test. */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sha256Digest } from '../packages/runtime/src/hashing.ts'
import { stringify } from 'smol-toml'

export const OPERATOR_TOKEN = 'operator-token-of-the-process-fleet'
export const AUTHORITY_TOKEN = 'authority-token-of-the-process-fleet'
export const ANNOUNCE_TOKEN = 'announcement-token-of-the-process-fleet'

const READY_TIMEOUT_MILLISECONDS = 60_000
const POLL_MILLISECONDS = 50
const LEASE_MILLISECONDS = 3_000

/** Number of processes of each kind and settings of the fake upstreams. */
export interface ProcessFleetOptions {
  readonly control: number
  readonly entries: number
  readonly upstreams: number
  readonly zones: number
  readonly slots: number
  readonly workMilliseconds: number
  /** Desired state, including keys and announcement digests. */
  readonly desiredState: Record<string, unknown>
  readonly pool: string
}

/** A started process and what is needed to restart it. */
export interface FleetProcess {
  readonly name: string
  readonly program: string
  readonly settingsFile: string
  /** Command line arguments before `--settings`. */
  readonly commandArguments: readonly string[]
  child: ChildProcess
  /** Last 200 lines of output of the process. */
  readonly lines: string[]
}

export interface FleetEntry extends FleetProcess {
  readonly publicUrl: string
  readonly innerUrl: string
}

export interface FleetUpstream extends FleetProcess {
  address: string
  admin: string
}

/** Counters of a fake upstream. */
export interface UpstreamCounters {
  readonly requests: number
  readonly cancelled: number
  readonly runs: Readonly<Record<string, number>>
  readonly firstRuns: Readonly<Record<string, { readonly customer: string, readonly wallMilliseconds: number }>>
}

export interface CommandResult {
  readonly exitCode: number
  readonly output: string
}

/** Starts, stops, kills and restarts the processes of a fleet. */
export class ProcessFleet {
  readonly control: FleetProcess[] = []
  readonly entries: FleetEntry[] = []
  readonly upstreams: FleetUpstream[] = []
  controlAddresses: readonly string[] = []

  private constructor (readonly folder: string, private readonly options: ProcessFleetOptions) {}

  static async start (options: ProcessFleetOptions): Promise<ProcessFleet> {
    const fleet = new ProcessFleet(await mkdtemp(join(tmpdir(), 'hickoryspoke-fleet-')), options)
    await fleet.startControl()
    const applied = await fleet.apply(options.desiredState)
    if (applied.exitCode !== 0) throw new Error(`the initial desired state was not accepted: ${applied.output}`)
    await fleet.startEntries()
    await Promise.all(fleet.entries.map(async (entry) => await fleet.waitUntilReady(entry)))
    for (let index = 1; index <= options.upstreams; index += 1) await fleet.startUpstream(index)
    return fleet
  }

  /** Applies a complete desired state with the operator command. */
  async apply (state: Record<string, unknown>, token = OPERATOR_TOKEN): Promise<CommandResult> {
    const file = join(this.folder, `state-${String(state['number'])}-${Math.floor(performance.now() * 1000)}.toml`)
    await writeFile(file, stringify(state))
    return await this.operator(['apply', file], token)
  }

  /** Runs the operator command. */
  async operator (commandArguments: readonly string[], token = OPERATOR_TOKEN): Promise<CommandResult> {
    return await runCommand('dist/bin/hickoryspoke', [...commandArguments, '--control', this.controlAddresses.join(',')], { HICKORYSPOKE_TOKEN: token })
  }

  /** Kills a process, as when its VM is lost. */
  async kill (target: FleetProcess): Promise<void> {
    await this.end(target, 'SIGKILL')
  }

  /** Stops a process with SIGTERM and returns its exit code. */
  async stopGracefully (target: FleetProcess): Promise<number> {
    return await this.end(target, 'SIGTERM')
  }

  /** Restarts a process with the same settings. */
  restart (target: FleetProcess): void {
    target.child = this.spawn(target.program, target.settingsFile, target.lines, target.commandArguments)
  }

  async waitUntilReady (entry: FleetEntry): Promise<void> {
    const end = performance.now() + READY_TIMEOUT_MILLISECONDS
    while (performance.now() < end) {
      const answer = await fetch(`${entry.innerUrl}/ready`).catch(() => undefined)
      if (answer?.status === 200) return
      await delay(POLL_MILLISECONDS)
    }
    throw new Error(`${entry.name} is not ready: ${entry.lines.slice(-5).join('\n')}`)
  }

  /** Changes the faults of a fake upstream. */
  async setFaults (upstream: FleetUpstream, faults: Record<string, unknown>): Promise<void> {
    await fetch(`http://${upstream.admin}/faults`, { method: 'PUT', body: JSON.stringify(faults) })
  }

  async counters (upstream: FleetUpstream): Promise<UpstreamCounters> {
    const answer = await fetch(`http://${upstream.admin}/counters`)
    return await answer.json() as UpstreamCounters
  }

  /** Makes a fake upstream announce that it is draining. */
  async drain (upstream: FleetUpstream): Promise<void> {
    await fetch(`http://${upstream.admin}/drain`, { method: 'POST' })
  }

  /** Suspends or resumes a process. */
  setSuspended (target: FleetProcess, frozen: boolean): void {
    target.child.kill(frozen ? 'SIGSTOP' : 'SIGCONT')
  }

  async stop (): Promise<void> {
    const all = [...this.upstreams, ...this.entries, ...this.control]
    await Promise.all(all.map(async (target) => await this.end(target, 'SIGKILL')))
    await rm(this.folder, { recursive: true, force: true })
  }

  private async startControl (): Promise<void> {
    const replicas: { name: string, address: string }[] = []
    for (let index = 1; index <= this.options.control; index += 1) {
      replicas.push({ name: `control-${index}`, address: await findFreeAddress() })
    }
    this.controlAddresses = replicas.map((replica) => replica.address)
    for (const [index, replica] of replicas.entries()) {
      const settings = {
        name: replica.name,
        zone: this.zone(index),
        cluster: 'process-fleet',
        data_folder: join(this.folder, replica.name),
        on_empty_folder: 'form',
        listen: replica.address,
        replicas,
        operators: [
          { name: 'operator', role: 'operator', digest: sha256Digest(OPERATOR_TOKEN) },
          { name: 'authority', role: 'authority', digest: sha256Digest(AUTHORITY_TOKEN) }
        ],
        security: { kind: 'plain_text' }
      }
      this.control.push(await this.startProcess(replica.name, 'hickoryspoke-control', settings))
    }
  }

  private async startEntries (): Promise<void> {
    const control = this.control.map((replica, index) => ({ name: replica.name, address: this.controlAddresses[index] }))
    for (let index = 1; index <= this.options.entries; index += 1) {
      const name = `entry-${index}`
      const listen = { public: await findFreeAddress(), inner: await findFreeAddress(), peer: await findFreeAddress() }
      const settings = {
        name,
        zone: this.zone(index),
        data_folder: join(this.folder, name),
        listen,
        control,
        security: { kind: 'plain_text' },
        shutdown: { announce_seconds: 0.5, grace_seconds: 10 },
        log: { level: 'warn' }
      }
      const started = await this.startProcess(name, 'hickoryspoke-entry', settings)
      this.entries.push({ ...started, publicUrl: `http://${listen.public}`, innerUrl: `http://${listen.inner}` })
    }
  }

  /** Starts a fake upstream that announces itself to two entries. */
  async startUpstream (index: number): Promise<FleetUpstream> {
    const name = `upstream-${index}`
    const first = index % this.entries.length
    const entries = [this.entries[first], this.entries[(first + 1) % this.entries.length]]
    const settings = {
      upstream: {
        name,
        zone: this.zone(index),
        pool: this.options.pool,
        listen: await findFreeAddress(),
        slots: this.options.slots,
        work_milliseconds: this.options.workMilliseconds,
        lease_milliseconds: LEASE_MILLISECONDS,
        announce_token: ANNOUNCE_TOKEN,
        announce_to: [...new Set(entries.map((entry) => entry?.innerUrl ?? ''))]
      }
    }
    const started = await this.startProcess(name, 'hickoryspoke-bench', settings, ['upstream'])
    const upstream: FleetUpstream = { ...started, address: settings.upstream.listen, admin: await waitForAdminAddress(started) }
    this.upstreams.push(upstream)
    return upstream
  }

  private async startProcess (
    name: string,
    program: string,
    settings: Record<string, unknown>,
    commandArguments: readonly string[] = []
  ): Promise<FleetProcess> {
    const settingsFile = join(this.folder, `${name}.toml`)
    await writeFile(settingsFile, stringify(settings))
    const lines: string[] = []
    return { name, program, settingsFile, commandArguments, lines, child: this.spawn(program, settingsFile, lines, commandArguments) }
  }

  private spawn (program: string, settingsFile: string, lines: string[], commandArguments: readonly string[] = []): ChildProcess {
    const child = spawn(process.execPath, [`dist/bin/${program}`, ...commandArguments, '--settings', settingsFile], { stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (chunk) => {
        lines.push(...String(chunk).split('\n').filter((line) => line !== ''))
        lines.splice(0, Math.max(0, lines.length - 200))
      })
    }
    return child
  }

  private async end (target: FleetProcess, signal: NodeJS.Signals): Promise<number> {
    const { child } = target
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode ?? -1
    const ended = new Promise<number>((resolve) => child.once('exit', (code) => resolve(code ?? -1)))
    child.kill(signal)
    return await ended
  }

  private zone (index: number): string {
    return `zone-${index % this.options.zones}`
  }
}

/** Runs a bundled command and returns its exit code and output. */
export async function runCommand (program: string, commandArguments: readonly string[], environment: Record<string, string>): Promise<CommandResult> {
  const child = spawn(process.execPath, [program, ...commandArguments], { env: { ...process.env, ...environment } })
  const chunks: string[] = []
  child.stdout.on('data', (chunk) => chunks.push(String(chunk)))
  child.stderr.on('data', (chunk) => chunks.push(String(chunk)))
  const exitCode = await new Promise<number>((resolve) => child.once('close', (code) => resolve(code ?? -1)))
  return { exitCode, output: chunks.join('') }
}

export async function delay (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

async function waitForAdminAddress (started: FleetProcess): Promise<string> {
  const end = performance.now() + READY_TIMEOUT_MILLISECONDS
  while (performance.now() < end) {
    const ready = started.lines.find((line) => line.startsWith('{"ready":true'))
    if (ready !== undefined) return (JSON.parse(ready) as { admin: string }).admin
    await delay(POLL_MILLISECONDS)
  }
  throw new Error(`${started.name} did not start: ${started.lines.join('\n')}`)
}

async function findFreeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return `127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`
}
