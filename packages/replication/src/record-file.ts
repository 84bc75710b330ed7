import type { MessageFns } from '@hickoryspoke/protocol/generated/replica'
import { replaceFile, type DataFolder } from './data-folder.ts'
import { encodeFrame, FRAME_END, scanFrames } from './frame.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** A small file that holds one record and is always replaced as a whole. Methods throw `StorageFailure`. */
export class RecordFile<Value> {
  private constructor (
    private readonly folder: DataFolder,
    private readonly name: string,
    private readonly codec: MessageFns<Value>
  ) {}

  static create<Value> (folder: DataFolder, name: string, codec: MessageFns<Value>): RecordFile<Value> {
    return new RecordFile(folder, name, codec)
  }

  /** The record, or `undefined` when there is no such file. A record that does not verify is never taken for a missing one. */
  async load (): Promise<Value | undefined> {
    try {
      if (!(await this.folder.list()).includes(this.name)) return undefined
      return this.decode(await this.folder.read(this.name))
    } catch (thrown) {
      throw StorageFailure.from(thrown, this.name)
    }
  }

  /** Resolves once the record will outlast a crash. */
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
      throw StorageFailure.create(STORAGE_FAULT.ChecksumMismatch, this.name, 'the record does not verify')
    }
    return this.codec.decode(payload)
  }
}
