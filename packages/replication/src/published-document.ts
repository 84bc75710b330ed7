/** State machine for one published document. The highest number wins, and the content of a number never changes. */
import { isOlder } from '@hickoryspoke/runtime/held-number'
import type { StateMachine } from './replicated-log.ts'

/** A document as its sender wrote it, with its number. */
export interface PublishedDocument {
  readonly number: number
  readonly content: Buffer
}

const NUMBER_BYTES = 8
const EMPTY = Buffer.alloc(0)

/** Keeps the document with the highest number that was committed. */
export class PublishedDocumentState implements StateMachine {
  private held: PublishedDocument | undefined
  private readonly listeners = new Set<() => void>()

  static create (): PublishedDocumentState {
    return new PublishedDocumentState()
  }

  /** The document in force; undefined before the first is published. */
  get document (): PublishedDocument | undefined {
    return this.held
  }

  /** Calls `listener` after each change of the document. */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  apply (_index: number, command: Uint8Array): Uint8Array {
    this.add(decodeDocument(command))
    return EMPTY
  }

  /** Ignores a document whose number is not higher than the current one. */
  add (candidate: PublishedDocument): void {
    if (isOlder(this.held?.number, candidate.number)) this.setDocument(candidate)
  }

  snapshot (): Uint8Array {
    return this.held === undefined ? EMPTY : encodeDocument(this.held)
  }

  restore (snapshot: Uint8Array): void {
    if (snapshot.length > 0) this.setDocument(decodeDocument(snapshot))
  }

  private setDocument (document: PublishedDocument): void {
    this.held = document
    for (const listener of this.listeners) listener()
  }
}

/** Encodes a document as a command and as a snapshot that hold nothing else. */
export function encodeDocument (document: PublishedDocument): Buffer {
  const head = Buffer.alloc(NUMBER_BYTES)
  head.writeBigUInt64BE(BigInt(document.number))
  return Buffer.concat([head, document.content])
}

function decodeDocument (bytes: Uint8Array): PublishedDocument {
  const buffer = Buffer.from(bytes)
  return { number: Number(buffer.readBigUInt64BE(0)), content: buffer.subarray(NUMBER_BYTES) }
}
