/** State machine of one published document: the highest number holds, and a number is never given other content. */
import type { StateMachine } from './replicated-log.ts'

/** A document as its sender wrote it, under its number. */
export interface PublishedDocument {
  readonly number: number
  readonly content: Buffer
}

const NUMBER_BYTES = 8
const NOTHING = Buffer.alloc(0)

/** Keeps the document with the highest number that was committed. */
export class PublishedDocumentState implements StateMachine {
  private held: PublishedDocument | undefined
  private readonly listeners = new Set<() => void>()

  static create (): PublishedDocumentState {
    return new PublishedDocumentState()
  }

  /** The document in force. */
  get document (): PublishedDocument | undefined {
    return this.held
  }

  /** Calls back after each change of the document. */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  /** A document whose number is not higher than the one held changes nothing. */
  apply (_index: number, command: Uint8Array): Uint8Array {
    const candidate = decodeDocument(command)
    if (candidate.number > (this.held?.number ?? 0)) this.hold(candidate)
    return NOTHING
  }

  snapshot (): Uint8Array {
    return this.held === undefined ? NOTHING : encodeDocument(this.held)
  }

  restore (snapshot: Uint8Array): void {
    if (snapshot.length > 0) this.hold(decodeDocument(snapshot))
  }

  private hold (document: PublishedDocument): void {
    this.held = document
    for (const listener of this.listeners) listener()
  }
}

/** The command that publishes a document. */
export function encodeDocument (document: PublishedDocument): Buffer {
  const head = Buffer.alloc(NUMBER_BYTES)
  head.writeBigUInt64BE(BigInt(document.number))
  return Buffer.concat([head, document.content])
}

function decodeDocument (bytes: Uint8Array): PublishedDocument {
  const buffer = Buffer.from(bytes)
  return { number: Number(buffer.readBigUInt64BE(0)), content: buffer.subarray(NUMBER_BYTES) }
}
