import { open, mkdir, readFile, rename } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { encodeState } from '@hickoryspoke/configuration/state-codec'
import { StoredConfiguration } from '@hickoryspoke/protocol/generated/distribution'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { HeldConfiguration } from './held-configuration.ts'

const FILE_NAME = 'accepted-configuration'

/** Shortest time between two writes, in milliseconds; a change that is lost with the process is fetched again. */
export const STORE_INTERVAL_MILLISECONDS = 5_000

/** What the store needs. `folder` is the data folder of the entry. */
export interface ConfigurationStoreParts {
  readonly folder: string
  readonly held: HeldConfiguration
  readonly clock: Clock
  readonly logger: Logger
}

/** Keeps the last accepted file on disk, so that an entry starts with it when neither control nor peers answer. */
export class ConfigurationStore {
  private readonly file: string

  private constructor (private readonly parts: ConfigurationStoreParts) {
    this.file = join(parts.folder, FILE_NAME)
  }

  static create (parts: ConfigurationStoreParts): ConfigurationStore {
    return new ConfigurationStore(parts)
  }

  /** Takes what the disk holds; a file that is damaged is reported and left aside. */
  async load (): Promise<void> {
    const bytes = await readFile(this.file).catch(() => undefined)
    if (bytes === undefined) return
    const damage = this.take(bytes)
    if (damage !== undefined) this.parts.logger.error('stored configuration is damaged and not used', { file: this.file, reason: damage })
  }

  /** Writes each change until the signal aborts, not more often than `STORE_INTERVAL_MILLISECONDS`. */
  async run (signal: AbortSignal): Promise<void> {
    let isChanged = false
    const unsubscribe = this.parts.held.onChange(() => { isChanged = true })
    while (!signal.aborted) {
      await sleep(this.parts.clock, STORE_INTERVAL_MILLISECONDS, signal)
      if (!isChanged) continue
      isChanged = false
      await this.save()
    }
    unsubscribe()
  }

  /** Writes what is held: a new file, synced, takes the place of the old one. */
  async save (): Promise<void> {
    const { recent, membership } = this.parts.held
    if (recent.latest === undefined) return
    const stored = StoredConfiguration.encode({ identity: recent.latest.identity, whole: encodeState(recent.latest), membership }).finish()
    try {
      await writeSynced(this.file, stored)
    } catch (thrown) {
      this.parts.logger.error('configuration could not be stored', { file: this.file, reason: describeError(thrown) })
    }
  }

  private take (bytes: Uint8Array): string | undefined {
    try {
      const { identity, whole, membership } = StoredConfiguration.decode(bytes)
      if (identity === undefined) return 'no identity'
      const taken = this.parts.held.takeUpdate({ identity, differenceFrom: undefined, content: whole })
      if (taken.isErr()) return taken.error.message
      if (membership !== undefined) this.parts.held.takeMembership(membership)
      return undefined
    } catch (thrown) {
      return describeError(thrown)
    }
  }
}

async function writeSynced (file: string, content: Uint8Array): Promise<void> {
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
