/** Plays a power loss of all control VMs, right after an acknowledgement, in which as many disks are lost as must be borne. */
import { rm } from 'node:fs/promises'
import { pickOne, randomBelow, SeededRandom, type RandomSource } from '@hickoryspoke/runtime/random'
import * as assert from 'uvu/assert'
import type { Replica } from '../replica.ts'
import { createRecoveryTuning } from '../replica-tuning.ts'
import { quorumSize } from '../replica-set.ts'
import { TestCluster } from './test-cluster.ts'

/** A fleet of control VMs: how many there are, and how many losses it must bear at the same time. */
export interface DarkFleetSize {
  readonly replicas: number
  readonly losses: number
}

const FOUNDERS = 3
const CATCH_UP_MILLISECONDS = 4_000
/** The fleet leads again within this time after the last VM is back. */
const RECOVERY_MILLISECONDS = 15_000
const LONGEST_DARK_MILLISECONDS = 1_000
const CHECK_INTERVAL_MILLISECONDS = 50
const SILENT_MILLISECONDS = 2_600
const MOST_COMMANDS = 8
/** Small, so that snapshots and new segments fall into the power loss. */
const SMALL = { snapshotEntries: 6, segmentBytes: 400, retainedBytes: 100, chunkBytes: 64 }

/** What happens just before the power loss. The number of losses that it uses up is returned. */
type Prelude = (fleet: DarkFleet) => Promise<number>

const PRELUDES: Record<string, Prelude> = {
  nothing: async () => 0,
  'slow disks': async (fleet) => fleet.slowDisks(),
  'a leader that stops': async (fleet) => fleet.letLeaderStop(),
  'a leader change': async (fleet) => await fleet.changeLeader(),
  'a new member': async (fleet) => await fleet.addMember(),
  'a removed member': async (fleet) => await fleet.removeMember(),
  'an earlier loss': async (fleet) => await fleet.loseEarlierDisk()
}

/** One fleet, and what it has acknowledged. */
export class DarkFleet {
  /** Acknowledged commands by position in the history. */
  private readonly acknowledged = new Map<number, string>()
  private readonly names: string[]
  private proposed = 0
  private isLeaderToStop = false

  private constructor (readonly cluster: TestCluster, private readonly size: DarkFleetSize, private readonly random: RandomSource) {
    this.names = [...cluster.names]
  }

  static async create (size: DarkFleetSize, seed: number): Promise<DarkFleet> {
    const names = Array.from({ length: size.replicas }, (_, index) => `vm-${index + 1}`)
    const cluster = await TestCluster.create(names, seed, { ...createRecoveryTuning(CATCH_UP_MILLISECONDS), ...SMALL })
    cluster.peersInSettings = names.slice(0, FOUNDERS)
    cluster.openMembership = { minimumVoters: 2 * size.losses + 1 }
    for (const [index, name] of names.entries()) await cluster.boot(name, index < FOUNDERS ? 'form' : 'join')
    await cluster.until(() => cluster.leaderName() !== undefined && voterCount(cluster) === size.replicas)
    return new DarkFleet(cluster, size, SeededRandom.create(seed))
  }

  /** One power loss and the recovery from it. Returns a description. */
  async round (): Promise<string> {
    const kind = pickOne(this.random, Object.keys(PRELUDES))
    const used = await (PRELUDES[kind] as Prelude)(this)
    await this.loseEverything()
    const lost = await this.leaveDisks(Math.max(0, this.size.losses - used))
    const description = `${kind}, then lost disks: ${lost.join(' ') || 'none'}`
    await this.bootAll()
    await this.recover(description)
    return description
  }

  slowDisks (): number {
    const { cluster } = this
    const bearable = this.names.length - quorumSize({ members: [...cluster.leader().status().members] })
    for (const name of this.shuffled([...cluster.nodes.keys()]).slice(0, bearable)) cluster.node(name).folder.hold(pickOne(this.random, ['segment', '']))
    return 0
  }

  /** The leader is told to stop between the proposals that follow. */
  letLeaderStop (): number {
    this.isLeaderToStop = true
    return 0
  }

  /** Cuts the leader off until another one leads. It holds proposals that nobody else has. */
  async changeLeader (): Promise<number> {
    const { cluster } = this
    const old = cluster.leaderName() as string
    for (const other of this.names) {
      cluster.network.cut(old, other)
      cluster.network.cut(other, old)
    }
    for (let count = 0; count < 2; count += 1) this.propose(cluster.node(old).replica, () => {})
    await cluster.until(() => cluster.leaders().some((name) => name !== old))
    if (this.random.next() < 0.5) await this.proposeAndWait(cluster.node(cluster.leaders().find((name) => name !== old) as string).replica)
    cluster.network.healAll()
    await cluster.until(() => cluster.leaders().length === 1)
    return 0
  }

  /** Starts another VM. The power is lost at some moment before or after it has a vote. */
  async addMember (): Promise<number> {
    const name = `vm-${this.names.length + 1}`
    await this.cluster.boot(name, 'join')
    this.names.push(name)
    await this.cluster.advance(randomBelow(this.random, CATCH_UP_MILLISECONDS / 2))
    return 0
  }

  /** One VM is silent until about the time at which it is removed from the set. */
  async removeMember (): Promise<number> {
    const { cluster } = this
    if (this.size.losses < 2) return 0
    const name = pickOne(this.random, cluster.followers())
    await cluster.crash(name)
    await cluster.advance(SILENT_MILLISECONDS - randomBelow(this.random, 1_200))
    if (this.random.next() < 0.5) await cluster.boot(name, 'join')
    await cluster.until(() => cluster.leaders().length === 1)
    return 1
  }

  /** A disk is lost, and within `catch-up` after its return the power is lost. */
  async loseEarlierDisk (): Promise<number> {
    const { cluster } = this
    const name = pickOne(this.random, this.names)
    await cluster.loseDisk(name)
    await cluster.advance(randomBelow(this.random, SILENT_MILLISECONDS))
    await cluster.boot(name, 'join')
    await cluster.advance(randomBelow(this.random, CATCH_UP_MILLISECONDS))
    await cluster.until(() => cluster.leaders().length === 1)
    return 1
  }

  /** Proposes several commands at once, and loses the power in the moment of an acknowledgement. */
  private async loseEverything (): Promise<void> {
    const { cluster } = this
    const count = 1 + randomBelow(this.random, MOST_COMMANDS)
    const state = { remaining: 1 + randomBelow(this.random, count), isDark: false }
    const receive = (isConfirmed: boolean): void => {
      if (isConfirmed) state.remaining -= 1
      if (state.remaining > 0 || state.isDark) return
      state.isDark = true
      cluster.losePowerEverywhere()
    }
    for (let index = 0; index < count && !state.isDark && cluster.leaderName() !== undefined; index += 1) {
      this.propose(cluster.leader(), receive)
      if (this.isLeaderToStop && this.random.next() < 0.5) {
        this.isLeaderToStop = false
        void cluster.leader().stop()
      }
      if (this.random.next() < 0.3) await cluster.advance(randomBelow(this.random, 20))
    }
    this.isLeaderToStop = false
    for (let waited = 0; !state.isDark && waited < CATCH_UP_MILLISECONDS; waited += CHECK_INTERVAL_MILLISECONDS) {
      await cluster.advance(CHECK_INTERVAL_MILLISECONDS)
    }
    cluster.losePowerEverywhere()
  }

  /** Ends all processes. Disks are lost, or come back with unsynced writes that are missing, torn or kept. */
  private async leaveDisks (losses: number): Promise<string[]> {
    const folders = await this.cluster.endEverywhere()
    const lost = this.shuffled(this.names).slice(0, losses)
    for (const folder of folders.values()) {
      const share = pickOne(this.random, [undefined, this.random.next(), 1])
      if (share === undefined) await folder.dropUnsynced()
      else await folder.keepUnsynced(share)
    }
    for (const name of lost) await rm(this.cluster.folderPath(name), { recursive: true })
    return lost
  }

  private async bootAll (): Promise<void> {
    const { cluster } = this
    await cluster.advance(randomBelow(this.random, LONGEST_DARK_MILLISECONDS))
    for (const name of this.shuffled(this.names)) {
      await cluster.boot(name, 'join')
      if (this.random.next() < 0.5) await cluster.advance(randomBelow(this.random, LONGEST_DARK_MILLISECONDS))
      await this.checkReads('while VMs start')
    }
  }

  private async recover (description: string): Promise<void> {
    const { cluster } = this
    let isRead = false
    for (let waited = 0; !isRead && waited < RECOVERY_MILLISECONDS; waited += CHECK_INTERVAL_MILLISECONDS) {
      await cluster.advance(CHECK_INTERVAL_MILLISECONDS)
      isRead = await this.checkReads(description)
    }
    assert.ok(isRead, `${description}: no leader that can be read ${RECOVERY_MILLISECONDS} ms after the last start`)
    await cluster.until(() => cluster.leaders().length === 1)
    assert.ok(await this.proposeAndWait(cluster.leader()), `${description}: a change is not accepted`)
    await cluster.until(() => voterCount(cluster) === this.names.length)
    await cluster.advance(CATCH_UP_MILLISECONDS)
    for (const name of this.names) this.checkHistory(cluster.commands(name), `${description}: at last ${name}`)
  }

  /** Reads at every replica that believes it is the leader. Whether one answered. */
  private async checkReads (description: string): Promise<boolean> {
    let answered = false
    for (const name of this.cluster.leaders()) {
      const { replica, machine } = this.cluster.node(name)
      let read: readonly string[] | 'unavailable' | undefined
      void replica.readBarrier().then((answer) => { read = answer.isOk() ? [...machine.commands] : 'unavailable' })
      await this.cluster.until(() => read !== undefined)
      if (!Array.isArray(read)) continue
      answered = true
      this.checkHistory(read, `${description}: ${name}`)
    }
    return answered
  }

  private checkHistory (commands: readonly string[], description: string): void {
    for (const [position, command] of this.acknowledged) {
      assert.is(commands[position - 1], command, `${description} does not show what was acknowledged as number ${position}`)
    }
  }

  private propose (replica: Replica, receive: (isConfirmed: boolean) => void): void {
    this.proposed += 1
    const command = `change ${this.proposed}`
    void replica.propose(Buffer.from(command)).then((answer) => {
      if (answer.isOk()) this.acknowledged.set(Number(Buffer.from(answer.value).toString()), command)
      receive(answer.isOk())
    })
  }

  private async proposeAndWait (replica: Replica): Promise<boolean> {
    let outcome: boolean | undefined
    this.propose(replica, (isConfirmed) => { outcome = isConfirmed })
    await this.cluster.until(() => outcome !== undefined)
    return outcome === true
  }

  private shuffled (values: readonly string[]): string[] {
    return values.map((value) => ({ value, order: this.random.next() })).sort((left, right) => left.order - right.order).map(({ value }) => value)
  }
}

function voterCount (cluster: TestCluster): number {
  const leader = cluster.leaderName()
  return leader === undefined ? 0 : cluster.node(leader).replica.status().members.filter((member) => member.voter).length
}
