import { mkdir, open, readFile, readdir, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'

/** An append-only file. Bytes are durable once `sync` has resolved. */
export interface AppendFile {
  append (bytes: Uint8Array): Promise<void>
  sync (): Promise<void>
  close (): Promise<void>
}

/** The folder in which a replica keeps its files. Created, renamed and removed names are durable once `sync` has resolved. */
export interface DataFolder {
  list (): Promise<string[]>
  read (name: string): Promise<Buffer>
  /** Opens a file for appending, and creates it if it does not exist. */
  openAppend (name: string): Promise<AppendFile>
  /** Truncates a file and syncs it. */
  truncate (name: string, length: number): Promise<void>
  rename (from: string, to: string): Promise<void>
  remove (name: string): Promise<void>
  sync (): Promise<void>
}

class NodeAppendFile implements AppendFile {
  private constructor (private readonly handle: FileHandle) {}

  static create (handle: FileHandle): NodeAppendFile {
    return new NodeAppendFile(handle)
  }

  async append (bytes: Uint8Array): Promise<void> {
    let written = 0
    while (written < bytes.length) {
      const step = await this.handle.write(bytes, written, bytes.length - written)
      written += step.bytesWritten
    }
  }

  async sync (): Promise<void> {
    await this.handle.datasync()
  }

  async close (): Promise<void> {
    await this.handle.close()
  }
}

/** A data folder in the local file system. */
export class NodeDataFolder implements DataFolder {
  private constructor (readonly path: string) {}

  /** Opens a folder, and creates it if it does not exist. Errors of the file system are thrown as they are. */
  static async create (path: string): Promise<NodeDataFolder> {
    await mkdir(path, { recursive: true })
    return new NodeDataFolder(path)
  }

  async list (): Promise<string[]> {
    return (await readdir(this.path)).sort()
  }

  read (name: string): Promise<Buffer> {
    return readFile(join(this.path, name))
  }

  async openAppend (name: string): Promise<AppendFile> {
    return NodeAppendFile.create(await open(join(this.path, name), 'a'))
  }

  async truncate (name: string, length: number): Promise<void> {
    const handle = await open(join(this.path, name), 'r+')
    try {
      await handle.truncate(length)
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  rename (from: string, to: string): Promise<void> {
    return rename(join(this.path, from), join(this.path, to))
  }

  remove (name: string): Promise<void> {
    return rm(join(this.path, name))
  }

  async sync (): Promise<void> {
    const handle = await open(this.path, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}

const TEMPORARY_SUFFIX = '.temporary'

/** Whether a name belongs to a temporary file left by an interrupted `replaceFile`. */
export function isTemporary (name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX)
}

/** Replaces a file atomically: after a crash it has either the old content or the new. */
export async function replaceFile (folder: DataFolder, name: string, parts: readonly Uint8Array[]): Promise<void> {
  const temporary = name + TEMPORARY_SUFFIX
  const existing = await folder.list()
  if (existing.includes(temporary)) await folder.remove(temporary)
  const file = await folder.openAppend(temporary)
  try {
    for (const part of parts) await file.append(part)
    await file.sync()
  } finally {
    await file.close()
  }
  await folder.rename(temporary, name)
  await folder.sync()
}
