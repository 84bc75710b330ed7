/**
 * The replicated state of control VMs that dispatch: the published document, the departures of upstreams, and the decisions on
 * availability zones. Commands and snapshots that begin with a document's number hold a document, as written by versions that
 * know nothing else; number 0 tells that departures follow. Those versions ignore a command with it. Decisions on zones and the
 * document of number 0 are written as departures that concern no upstream, so that versions that do not know them keep them.
 */
import { Departure, DepartureList } from '@hickoryspoke/protocol/generated/dispatch'
import { DepartureRegister } from './departure-register.ts'
import { FIRST_NUMBER, readFirstDocument, toFirstDocumentRecord } from './first-document.ts'
import { encodeDocument, PublishedDocumentState, type PublishedDocument } from './published-document.ts'
import type { StateMachine } from './replicated-log.ts'
import { readRecord, toRecord, ZoneRegister, type ZoneDecision } from './zone-register.ts'

const NUMBER_BYTES = 8
const LENGTH_BYTES = 4
/** Begins what holds departures. */
const DEPARTURES_FOLLOW = Buffer.alloc(NUMBER_BYTES)
const EMPTY = Buffer.alloc(0)

/** The state machine. */
export class ControlState implements StateMachine {
  readonly documents = PublishedDocumentState.create()
  readonly departures = DepartureRegister.create()
  readonly zones = ZoneRegister.create()

  private constructor () {}

  static create (): ControlState {
    return new ControlState()
  }

  apply (index: number, command: Uint8Array): Uint8Array {
    if (!holdsDepartures(command)) return this.documents.apply(index, command)
    const departure = Departure.decode(command.subarray(NUMBER_BYTES))
    const decision = readRecord(departure)
    const first = readFirstDocument(departure)
    if (decision !== undefined) this.zones.add(decision)
    else if (first !== undefined) this.documents.add(first)
    else this.departures.add(departure)
    return EMPTY
  }

  snapshot (): Uint8Array {
    const { document } = this.documents
    const isFirst = document?.number === FIRST_NUMBER
    const first = isFirst ? [toFirstDocumentRecord(document.content)] : []
    const rest = isFirst ? EMPTY : this.documents.snapshot()
    // Versions that do not know the other records forget the oldest of very many departures, so these come last.
    const records = [...this.departures.all(), ...this.zones.all().map(toRecord), ...first]
    if (records.length === 0) return rest
    const departures = DepartureList.encode({ departures: records }).finish()
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(departures.length)
    return Buffer.concat([DEPARTURES_FOLLOW, length, departures, rest])
  }

  restore (snapshot: Uint8Array): void {
    if (!holdsDepartures(snapshot)) return this.documents.restore(snapshot)
    const bytes = Buffer.from(snapshot)
    const begin = NUMBER_BYTES + LENGTH_BYTES
    const end = begin + bytes.readUInt32BE(NUMBER_BYTES)
    const { departures } = DepartureList.decode(bytes.subarray(begin, end))
    this.departures.restore(departures.filter((departure) => readRecord(departure) === undefined && readFirstDocument(departure) === undefined))
    this.zones.restore(departures.map(readRecord).filter((decision) => decision !== undefined))
    this.documents.restore(bytes.subarray(end))
    // A version that does not know this record still holds it beside a later document.
    for (const document of departures.map(readFirstDocument).filter((found) => found !== undefined)) this.documents.add(document)
  }
}

/** Encodes the command that publishes a document. */
export function encodeDocumentCommand (document: PublishedDocument): Buffer {
  if (document.number !== FIRST_NUMBER) return encodeDocument(document)
  return encodeDepartureCommand(toFirstDocumentRecord(document.content))
}

/** Encodes the command that records a departure. */
export function encodeDepartureCommand (departure: Departure): Buffer {
  return Buffer.concat([DEPARTURES_FOLLOW, Departure.encode(departure).finish()])
}

/** Encodes the command that records a decision on a zone. */
export function encodeZoneCommand (decision: ZoneDecision): Buffer {
  return encodeDepartureCommand(toRecord(decision))
}

function holdsDepartures (bytes: Uint8Array): boolean {
  return bytes.length >= NUMBER_BYTES && DEPARTURES_FOLLOW.equals(bytes.subarray(0, NUMBER_BYTES))
}
