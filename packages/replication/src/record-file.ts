import type { MessageFns } from '@hickoryspoke/protocol/generated/replica'
import { replaceFile, type DataFolder } from './data-folder.ts'
import { encodeFrame, FRAME_END, scanFrames } from './frame.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** A small file with one record that is always replaced atomically. Methods throw `StorageFailure`. */
export class RecordFile<Value> {
  private constructor (
    private readonly folder: DataFolder,
    private readonly name: string,
    private readonly codec: MessageFns<Value>
  ) {}

  static create<Value> (folder: DataFolder, name: string, codec: MessageFns<Value>): RecordFile<Value> {
    return new RecordFile(folder, name, codec)
  }

  /** Returns the record, or undefined if the file does not exist. A corrupt record throws; it is never treated as missing. */
  async load (): Promise<Value | undefined> {
    try {
      if (!(await this.folder.list()).includes(this.name)) return undefined
      return this.decode(await this.folder.read(this.name))
    } catch (thrown) {
      throw StorageFailure.from(thrown, this.name)
    }
  }

  /** Resolves once the record is durable. */
  async save (value: Value): Promise<void> {
    try {
      await replaceFile(this.folder, this.name, [encodeFrame(this.codec.encode(value).finish())])
    } catch (thrown) {
      throw StorageFailure.from(thrown, this.name)
    }
  }

  private decode (bytes: Buffer): Value {
    const scan = scanFrames(bytes)
    const payload = scan.payloads[0]
    if (scan.end !== FRAME_END.Clean || payload === undefined || scan.payloads.length !== 1) {
      throw StorageFailure.create(STORAGE_FAULT.ChecksumMismatch, this.name, 'the record is incomplete or does not match its checksum')
    }
    return this.codec.decode(payload)
  }
}
