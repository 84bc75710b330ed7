import { open, mkdir, readFile, rename } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { encodeState } from '@hickoryspoke/configuration/state-codec'
import { StoredConfiguration } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

const FILE_NAME = 'accepted-configuration'

/** Minimum time between two writes, in milliseconds. Changes lost in a crash are fetched again after the restart. */
export const STORE_INTERVAL_MILLISECONDS = 5_000

/** Dependencies of a `ConfigurationStore`. `folder` is the data folder of the entry. */
export interface ConfigurationStoreOptions {
  readonly folder: string
  readonly held: HeldConfiguration
  readonly clock: Clock
  readonly logger: Logger
}

/** Stores the last accepted file on disk, so that an entry can start with it if neither control nor peers answer. */
export class ConfigurationStore {
  private readonly file: string

  private constructor (private readonly options: ConfigurationStoreOptions) {
    this.file = join(options.folder, FILE_NAME)
  }

  static create (options: ConfigurationStoreOptions): ConfigurationStore {
    return new ConfigurationStore(options)
  }

  /** Loads the stored configuration. A damaged file is logged and ignored. */
  async load (): Promise<void> {
    const bytes = await readFile(this.file).catch(() => undefined)
    if (bytes === undefined) return
    const problem = this.restore(bytes)
    if (problem !== undefined) this.options.logger.error('stored configuration is damaged and was ignored', { file: this.file, reason: problem })
  }

  /** Saves changes until the signal aborts, at most once per `STORE_INTERVAL_MILLISECONDS`. */
  async run (signal: AbortSignal): Promise<void> {
    let isChanged = false
    const unsubscribe = this.options.held.onChange(() => { isChanged = true })
    while (!signal.aborted) {
      await sleep(this.options.clock, STORE_INTERVAL_MILLISECONDS, signal)
      if (!isChanged) continue
      isChanged = false
      await this.save()
    }
    unsubscribe()
  }

  /** Saves the current configuration. The old file is replaced atomically by a new one that has been synced to disk. */
  async save (): Promise<void> {
    const { recent, membership } = this.options.held
    if (recent.latest === undefined) return
    const stored = StoredConfiguration.encode({ identity: recent.latest.identity, whole: encodeState(recent.latest), membership }).finish()
    try {
      await writeDurably(this.file, stored)
    } catch (thrown) {
      this.options.logger.error('storing the configuration failed', { file: this.file, reason: describeError(thrown) })
    }
  }

  private restore (bytes: Uint8Array): string | undefined {
    try {
      const { identity, whole, membership } = StoredConfiguration.decode(bytes)
      if (identity === undefined) return 'no identity'
      const applied = this.options.held.applyUpdate({ identity, differenceFrom: undefined, content: whole })
      if (applied.isErr()) return applied.error.message
      if (membership !== undefined) this.options.held.applyMembership(membership)
      return undefined
    } catch (thrown) {
      return describeError(thrown)
    }
  }
}

async function writeDurably (file: string, content: Uint8Array): Promise<void> {
  await mkdir(dirname(file), { recursive: true })
  const temporary = `${file}.new`
  await withFile(temporary, 'w', async (handle) => {
    await handle.writeFile(content)
    await handle.sync()
  })
  await rename(temporary, file)
  await withFile(dirname(file), 'r', async (handle) => await handle.sync())
}

async function withFile (path: string, flags: string, use: (handle: Awaited<ReturnType<typeof open>>) => Promise<void>): Promise<void> {
  const handle = await open(path, flags)
  try {
    await use(handle)
  } finally {
    await handle.close()
  }
}
