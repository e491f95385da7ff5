//! All links among some processes, and what cuts them off from each other.

use super::faults::{separated_pairs, Direction, LinkFault};
use super::Link;
use std::io;
use std::net::SocketAddr;

/// Links in both directions between each two of some places.
pub struct Mesh {
    size: usize,
    /// By beginning, then by end; none from a place to itself.
    links: Vec<Option<Link>>,
    next_id: u32,
}

/// A trouble on some links, by which it is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultId(u32);

impl Mesh {
    /// Sound links among so many places.
    pub fn open(size: usize, seed: u64) -> io::Result<Self> {
        let link = |at: usize| match at / size == at % size {
            true => Ok(None),
            false => Link::open(seed.wrapping_mul(31).wrapping_add(at as u64)).map(Some),
        };
        let links = (0..size * size).map(link).collect::<io::Result<_>>()?;
        Ok(Mesh { size, links, next_id: 1 })
    }

    /// How many places there are.
    pub fn size(&self) -> usize {
        self.size
    }

    /// The link on which one place connects to another; none to itself.
    pub fn link(&self, from: usize, to: usize) -> Option<&Link> {
        self.links.get(from * self.size + to).and_then(Option::as_ref)
    }

    /// The process of a place listens there, or nowhere.
    pub fn set_process_address(&self, place: usize, address: Option<SocketAddr>) {
        for from in 0..self.size {
            if let Some(link) = self.link(from, place) {
                link.set_target(address);
            }
        }
    }

    fn new_id(&mut self) -> FaultId {
        self.next_id += 1;
        FaultId(self.next_id - 1)
    }

    /// What one place sends does not arrive at another, on whosever connections; what that one sends does.
    pub fn cut_direction(&mut self, from: usize, to: usize) -> io::Result<FaultId> {
        self.cut_pairs(&[(from, to)])
    }

    /// The same for several pairs.
    pub fn cut_pairs(&mut self, pairs: &[(usize, usize)]) -> io::Result<FaultId> {
        let id = self.new_id();
        for (from, to) in pairs {
            // Numbers are of one trouble on each link; the ways of one link are numbered apart.
            if let Some(link) = self.link(*from, *to) {
                link.begin_fault(id.0 * 2, LinkFault::Cut(Direction::Forward))?;
            }
            if let Some(link) = self.link(*to, *from) {
                link.begin_fault(id.0 * 2 + 1, LinkFault::Cut(Direction::Backward))?;
            }
        }
        Ok(id)
    }

    /// Sets of places that do not reach each other. What is in no set reaches all.
    pub fn partition(&mut self, sets: &[&[usize]]) -> io::Result<FaultId> {
        self.cut_pairs(&separated_pairs(sets))
    }

    /// A trouble on the connections that one place opens to another.
    pub fn begin_fault(&mut self, from: usize, to: usize, fault: LinkFault) -> io::Result<FaultId> {
        let id = self.new_id();
        if let Some(link) = self.link(from, to) {
            link.begin_fault(id.0 * 2, fault)?;
        }
        Ok(id)
    }

    /// Ends one trouble wherever it is.
    pub fn end_fault(&self, id: FaultId) -> io::Result<()> {
        for link in self.links.iter().flatten() {
            link.end_fault(id.0 * 2)?;
            link.end_fault(id.0 * 2 + 1)?;
        }
        Ok(())
    }

    /// Ends all of them.
    pub fn end_all_faults(&self) -> io::Result<()> {
        self.links.iter().flatten().try_for_each(Link::end_all_faults)
    }
}
