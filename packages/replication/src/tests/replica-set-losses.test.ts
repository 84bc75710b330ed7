import { rm } from 'node:fs/promises'
import { SeededRandom, type RandomSource } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { quorumSize } from '../replica-set.ts'
import { createRecoveryTuning } from '../replica-tuning.ts'
import { TestCluster } from './test-cluster.ts'

/** A fleet of control VMs: how many there are, and how many losses it must bear at the same time. */
interface FleetSize {
  readonly replicas: number
  readonly losses: number
  readonly catchUpMilliseconds: number
  readonly rounds: number
}

const SIZES: readonly FleetSize[] = [
  { replicas: 3, losses: 1, catchUpMilliseconds: 4_000, rounds: 8 },
  { replicas: 6, losses: 2, catchUpMilliseconds: 6_000, rounds: 8 },
  { replicas: 15, losses: 2, catchUpMilliseconds: 6_000, rounds: 4 }
]
const FOUNDERS = 3
const LONGEST_ABSENCE_MILLISECONDS = 1_000
/** A leader that lost its last contact is followed by another one within this time. */
const ELECTION_MILLISECONDS = 4_000

/** Plays losses, returns, replacements and changes of leader in a seeded order. */
class LossPlay {
  readonly alive: string[]
  private readonly random: RandomSource
  private created: number
  private confirmed = 0

  private constructor (readonly cluster: TestCluster, private readonly size: FleetSize, seed: number) {
    this.alive = [...cluster.names]
    this.created = size.replicas
    this.random = SeededRandom.create(seed)
  }

  static async create (size: FleetSize, seed: number): Promise<LossPlay> {
    const names = Array.from({ length: size.replicas }, (_, index) => `vm-${index + 1}`)
    const cluster = await TestCluster.create(names, seed, createRecoveryTuning(size.catchUpMilliseconds))
    cluster.peersInSettings = names.slice(0, FOUNDERS)
    cluster.openMembership = { minimumVoters: 2 * size.losses + 1 }
    for (const [index, name] of names.entries()) await cluster.boot(name, index < FOUNDERS ? 'form' : 'join')
    await cluster.until(() => cluster.leaderName() !== undefined && votersOf(cluster).length === size.replicas)
    return new LossPlay(cluster, size, seed)
  }

  /** As many losses at the same time as must be borne; `catch-up` after the last return the set must bear as many again. */
  async round (): Promise<string> {
    const losses = Array.from({ length: this.size.losses }, () => this.pick(Object.keys(LOSSES) as LossKind[]))
    const returns = []
    for (const kind of losses) returns.push({ kind, back: await LOSSES[kind](this) })
    for (const { back } of returns) {
      await this.cluster.advance(Math.ceil(this.random.next() * LONGEST_ABSENCE_MILLISECONDS))
      await back()
    }
    if (this.random.next() < 0.3) await this.restartAll()
    await this.cluster.advance(this.size.catchUpMilliseconds)
    return losses.join(' and ')
  }

  /** Checks that a majority of the voters is alive, and would be after the losses that must be borne. */
  async check (description: string): Promise<void> {
    const { cluster, size } = this
    const leader = cluster.leaderName()
    assert.ok(leader !== undefined, `${description}: no leader`)
    const { members } = cluster.leader().status()
    const voters = members.filter((member) => member.voter)
    const alive = voters.filter((member) => this.alive.includes(member.name)).length
    const quorum = quorumSize({ members: [...members] })
    assert.ok(alive - size.losses >= quorum, `${description}: ${alive} of ${voters.length} voters are alive, a majority is ${quorum}`)
    this.confirmed += 1
    assert.ok((await cluster.propose(`change ${this.confirmed}`)).isOk(), `${description}: a change is not accepted`)
    assert.is(cluster.commands(cluster.leaderName() as string).length, this.confirmed, `${description}: a confirmed change is lost`)
  }

  async crash (name: string): Promise<void> {
    this.alive.splice(this.alive.indexOf(name), 1)
    await this.cluster.crash(name)
  }

  async start (name: string, onEmptyFolder: 'join' | 'refuse'): Promise<void> {
    this.alive.push(name)
    await this.cluster.boot(name, onEmptyFolder)
  }

  pick<Value> (values: readonly Value[]): Value {
    return values[Math.floor(this.random.next() * values.length)] as Value
  }

  nextName (): string {
    this.created += 1
    return `vm-${this.created}`
  }

  /** The settings of a replica that starts name three others that are alive, as an operator's list would. */
  useSeedsOfToday (): void {
    this.cluster.peersInSettings = this.alive.slice(0, FOUNDERS)
  }

  /** Kills all processes at once. Their disks stay. */
  private async restartAll (): Promise<void> {
    await this.cluster.advance(Math.ceil(this.random.next() * this.size.catchUpMilliseconds))
    const names = [...this.alive]
    for (const name of names) await this.crash(name)
    await this.cluster.advance(500)
    for (const name of names) await this.start(name, 'refuse')
  }
}

type LossKind = 'disk' | 'leader disk' | 'replacement' | 'leader replacement' | 'leader restart'

async function loseDisk (play: LossPlay, name: string): Promise<() => Promise<void>> {
  await play.crash(name)
  await rm(play.cluster.folderPath(name), { recursive: true })
  return async () => await play.start(name, 'join')
}

async function replace (play: LossPlay, name: string): Promise<() => Promise<void>> {
  await play.crash(name)
  return async () => {
    play.useSeedsOfToday()
    await play.start(play.nextName(), 'join')
  }
}

async function leaderOf (play: LossPlay): Promise<string> {
  await play.cluster.until(() => play.cluster.leaderName() !== undefined, ELECTION_MILLISECONDS)
  return play.cluster.leaderName() as string
}

const LOSSES: Record<LossKind, (play: LossPlay) => Promise<() => Promise<void>>> = {
  disk: async (play) => await loseDisk(play, play.pick(play.alive)),
  'leader disk': async (play) => await loseDisk(play, await leaderOf(play)),
  replacement: async (play) => await replace(play, play.pick(play.alive)),
  'leader replacement': async (play) => await replace(play, await leaderOf(play)),
  'leader restart': async (play) => {
    const name = await leaderOf(play)
    await play.crash(name)
    return async () => await play.start(name, 'refuse')
  }
}

function votersOf (cluster: TestCluster): string[] {
  return cluster.leader().status().members.filter((member) => member.voter).map((member) => member.name)
}

// Guards against a replica that is gone for good and keeps its vote: with it, the next loss leaves no majority, and
// without a majority nothing can be changed.
for (const size of SIZES) {
  for (const seed of [61, 62, 63, 64]) {
    test(`${size.replicas} replicas bear ${size.losses} losses again and again, each ${size.catchUpMilliseconds} ms after the last return (seed ${seed})`, async () => {
      const play = await LossPlay.create(size, seed)
      const history: string[] = []
      for (let round = 0; round < size.rounds; round += 1) {
        history.push(await play.round())
        await play.check(`after ${history.join('; ')}`)
      }
      await play.cluster.destroy()
    })
  }
}

test.run()
