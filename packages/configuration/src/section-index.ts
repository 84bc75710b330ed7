import { createHash, hash } from 'node:crypto'
import { canonicalJson } from './canonical-json.ts'

const BUCKET_COUNT = 256
const BUCKET_HEXADECIMAL_DIGITS = 2

/** One item of a section with its name and the digest of its canonical text. */
export interface IndexedItem<Item> {
  readonly name: string
  readonly digest: string
  readonly item: Item
}

/** Items put in (new or replaced) and names removed. */
export interface SectionDifference<Item> {
  readonly put: readonly Item[]
  readonly remove: readonly string[]
}

interface Bucket<Item> {
  readonly items: readonly IndexedItem<Item>[]
  readonly digest: string
}

/**
 * The items of one section by name, in buckets that carry their own digest.
 * A change copies only the buckets that it touches, so its cost does not grow with the section.
 */
export class SectionIndex<Item> {
  readonly digest: string
  readonly size: number

  private constructor (private readonly nameOf: (item: Item) => string, private readonly buckets: readonly Bucket<Item>[]) {
    this.digest = digestTexts(buckets.map((bucket) => bucket.digest))
    this.size = buckets.reduce((sum, bucket) => sum + bucket.items.length, 0)
  }

  static create<Item> (nameOf: (item: Item) => string, items: readonly Item[]): SectionIndex<Item> {
    const groups: IndexedItem<Item>[][] = Array.from({ length: BUCKET_COUNT }, () => [])
    for (const item of items) {
      const indexed = toIndexed(nameOf(item), item)
      groups[bucketOf(indexed.name)]?.push(indexed)
    }
    return new SectionIndex(nameOf, groups.map((group) => toBucket(group)))
  }

  get (name: string): Item | undefined {
    return this.bucket(bucketOf(name)).items.find((indexed) => indexed.name === name)?.item
  }

  /** All items; their order follows from their names alone. */
  items (): Item[] {
    return this.buckets.flatMap((bucket) => bucket.items.map((indexed) => indexed.item))
  }

  /** A new index with the difference applied; undefined when it removes a name that is not here. */
  change (difference: SectionDifference<Item>): SectionIndex<Item> | undefined {
    const touched = new Map<number, Map<string, IndexedItem<Item>>>()
    for (const name of difference.remove) {
      if (!this.open(touched, name).delete(name)) return undefined
    }
    for (const item of difference.put) {
      const indexed = toIndexed(this.nameOf(item), item)
      this.open(touched, indexed.name).set(indexed.name, indexed)
    }
    const buckets = this.buckets.map((bucket, index) => {
      const changed = touched.get(index)
      return changed === undefined ? bucket : toBucket([...changed.values()])
    })
    return new SectionIndex(this.nameOf, buckets)
  }

  /** What leads from this index to another; buckets with equal digests are not looked at. */
  differenceTo (other: SectionIndex<Item>): SectionDifference<Item> {
    const put: Item[] = []
    const remove: string[] = []
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      const before = this.bucket(index)
      const after = other.bucket(index)
      if (before.digest === after.digest) continue
      put.push(...addedItems(before, after))
      remove.push(...removedNames(before, after))
    }
    return { put, remove }
  }

  private bucket (index: number): Bucket<Item> {
    return this.buckets[index] as Bucket<Item>
  }

  private open (touched: Map<number, Map<string, IndexedItem<Item>>>, name: string): Map<string, IndexedItem<Item>> {
    const index = bucketOf(name)
    const opened = touched.get(index) ?? new Map(this.bucket(index).items.map((indexed) => [indexed.name, indexed]))
    touched.set(index, opened)
    return opened
  }
}

function addedItems<Item> (before: Bucket<Item>, after: Bucket<Item>): Item[] {
  const digests = new Map(before.items.map((indexed) => [indexed.name, indexed.digest]))
  return after.items.filter((indexed) => digests.get(indexed.name) !== indexed.digest).map((indexed) => indexed.item)
}

function removedNames<Item> (before: Bucket<Item>, after: Bucket<Item>): string[] {
  const names = new Set(after.items.map((indexed) => indexed.name))
  return before.items.filter((indexed) => !names.has(indexed.name)).map((indexed) => indexed.name)
}

function toIndexed<Item> (name: string, item: Item): IndexedItem<Item> {
  return { name, item, digest: hash('sha256', canonicalJson(item), 'hex') }
}

function toBucket<Item> (items: IndexedItem<Item>[]): Bucket<Item> {
  items.sort((left, right) => left.name < right.name ? -1 : 1)
  return { items, digest: digestTexts(items.map((indexed) => indexed.digest)) }
}

function bucketOf (name: string): number {
  return Number.parseInt(hash('sha1', name, 'hex').slice(0, BUCKET_HEXADECIMAL_DIGITS), 16)
}

function digestTexts (texts: readonly string[]): string {
  return createHash('sha256').update(texts.join('\n')).digest('hex')
}
