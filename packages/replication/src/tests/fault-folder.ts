import { appendFile, readFile, rename, rm, stat, truncate, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { NodeDataFolder, type AppendFile, type DataFolder } from '../data-folder.ts'

type Operation = 'openAppend' | 'append' | 'sync' | 'truncate' | 'rename' | 'remove' | 'syncFolder'

/** Thrown by every modifying operation after a simulated power loss. */
export class PowerLost extends Error {}

interface Fault {
  readonly operation: Operation
  readonly code: string
}

/** A data folder on real files that can lose power at a given step, fail a given operation, or delay syncs. */
export class FaultFolder implements DataFolder {
  /** Number of modifying operations so far. */
  steps = 0
  crashAtStep = Infinity
  /** Fraction (0 to 1) of the interrupted append that reaches the disk on a power loss. */
  tornFraction = 0
  fault: Fault | undefined
  pending = 0
  /** Number of pending operations that wait for `release`. */
  heldOperations = 0
  private heldPrefix = ''
  private held: Promise<void> | undefined
  private releaseHeld: (() => void) | undefined
  private lost = false
  private readonly syncedLengths = new Map<string, number>()
  private undo: (() => Promise<void>)[] = []

  private constructor (private readonly inner: NodeDataFolder) {}

  static async create (path: string): Promise<FaultFolder> {
    const folder = new FaultFolder(await NodeDataFolder.create(path))
    for (const name of await folder.inner.list()) folder.syncedLengths.set(name, (await stat(join(path, name))).size)
    return folder
  }

  get path (): string {
    return this.inner.path
  }

  /** Blocks syncs of files whose name has a prefix until `release`; without a prefix, syncs of the folder too. */
  hold (prefix = ''): void {
    this.heldPrefix = prefix
    this.held = new Promise((resolve) => { this.releaseHeld = resolve })
  }

  release (): void {
    this.releaseHeld?.()
    this.held = undefined
  }

  /** Simulates a power loss: from now on every modifying operation fails. */
  losePower (): void {
    this.lost = true
    this.release()
  }

  /** Reverts the real files to what was synced before the power loss. */
  async dropUnsynced (): Promise<void> {
    this.lost = true
    for (const undo of this.undo.reverse()) await undo()
    for (const name of await this.inner.list()) {
      const length = this.syncedLengths.get(name)
      if (length !== undefined) await truncate(join(this.path, name), length)
    }
  }

  /** Keeps what was not synced before the power loss, but only this share (0 to 1) of the bytes that were appended to a file since its last sync. */
  async keepUnsynced (share: number): Promise<void> {
    this.lost = true
    for (const name of await this.inner.list()) {
      const path = join(this.path, name)
      const { size } = await stat(path)
      const synced = Math.min(size, this.syncedLengths.get(name) ?? size)
      await truncate(path, synced + Math.floor((size - synced) * share))
    }
  }

  list (): Promise<string[]> {
    return this.track(() => this.inner.list())
  }

  read (name: string): Promise<Buffer> {
    return this.track(() => this.inner.read(name))
  }

  async openAppend (name: string): Promise<AppendFile> {
    return this.step('openAppend', async () => {
      const isNew = !(await this.inner.list()).includes(name)
      const file = await this.inner.openAppend(name)
      if (isNew) {
        this.syncedLengths.set(name, 0)
        this.undo.push(() => rm(join(this.path, name), { force: true }))
      }
      return this.wrap(name, file)
    })
  }

  truncate (name: string, length: number): Promise<void> {
    return this.step('truncate', async () => {
      await this.inner.truncate(name, length)
      this.syncedLengths.set(name, length)
    })
  }

  rename (from: string, to: string): Promise<void> {
    return this.step('rename', async () => {
      const replaced = (await this.inner.list()).includes(to) ? await readFile(join(this.path, to)) : undefined
      await this.inner.rename(from, to)
      const length = this.syncedLengths.get(from) ?? 0
      this.syncedLengths.set(to, length)
      this.syncedLengths.delete(from)
      this.undo.push(async () => {
        await rename(join(this.path, to), join(this.path, from))
        this.syncedLengths.set(from, length)
        this.syncedLengths.delete(to)
        if (replaced !== undefined) await this.restore(to, replaced)
      })
    })
  }

  remove (name: string): Promise<void> {
    return this.step('remove', async () => {
      const content = await readFile(join(this.path, name))
      await this.inner.remove(name)
      this.syncedLengths.delete(name)
      this.undo.push(() => this.restore(name, content))
    })
  }

  sync (): Promise<void> {
    return this.step('syncFolder', async () => {
      await this.waitUntilReleased('')
      await this.inner.sync()
      this.undo = []
    })
  }

  private async waitUntilReleased (name: string): Promise<void> {
    if (this.held === undefined || !name.startsWith(this.heldPrefix)) return
    this.heldOperations += 1
    await this.held
    this.heldOperations -= 1
  }

  private async restore (name: string, content: Buffer): Promise<void> {
    await writeFile(join(this.path, name), content)
    this.syncedLengths.set(name, content.length)
  }

  private wrap (name: string, file: AppendFile): AppendFile {
    return {
      append: (bytes) => this.step('append', () => file.append(bytes), () => this.writeTornPart(name, bytes)),
      sync: () => this.step('sync', async () => {
        await this.waitUntilReleased(name)
        if (this.lost) throw new PowerLost()
        await file.sync()
        this.syncedLengths.set(name, (await stat(join(this.path, name))).size)
      }),
      close: () => this.track(() => file.close())
    }
  }

  /** Writes the part of an interrupted append that reaches the disk. */
  private async writeTornPart (name: string, bytes: Uint8Array): Promise<void> {
    const part = bytes.subarray(0, Math.floor(bytes.length * this.tornFraction))
    await appendFile(join(this.path, name), part)
    this.syncedLengths.set(name, (this.syncedLengths.get(name) ?? 0) + part.length)
  }

  private async step<Value> (operation: Operation, run: () => Promise<Value>, tear?: () => Promise<void>): Promise<Value> {
    this.steps += 1
    return this.track(async () => {
      if (this.lost) throw new PowerLost()
      if (this.steps >= this.crashAtStep) {
        this.lost = true
        await tear?.()
        throw new PowerLost()
      }
      if (this.fault?.operation === operation) throw Object.assign(new Error(this.fault.code), { code: this.fault.code })
      return run()
    })
  }

  private async track<Value> (run: () => Promise<Value>): Promise<Value> {
    this.pending += 1
    try {
      return await run()
    } finally {
      this.pending -= 1
    }
  }
}

/** Flips one bit of a file. */
export async function flipBit (path: string, offset: number): Promise<void> {
  const bytes = await readFile(path)
  bytes[offset] = (bytes[offset] as number) ^ 1
  await writeFile(path, bytes)
}
